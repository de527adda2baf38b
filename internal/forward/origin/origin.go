// Package origin remembers at which software version of a backend server streams began. What servers of two versions write does not fit
// together, so that a stream goes on only at the version that began it.
package origin

import (
	"sync"
	"time"
)

const (
	// lifetime is how long a begin is remembered: longer than a stream may last and its client may take to come back.
	lifetime = 2 * time.Minute
	// maxRecords is the number of begins that are remembered, the latest ones, and maxIDBytes the size of the longest id.
	maxRecords = 1 << 14
	maxIDBytes = 256
)

// Begin is the process of a backend server that made the first event of a stream.
type Begin struct {
	// Server is the id of the server, and StartedAt the start of its process, in Unix milliseconds; 0 if it is not known.
	Server    string
	StartedAt int64
	// Version is the software version of the process; it is set if Known is true.
	Version string
	Known   bool
	// At is when the begin, or an event after it at the same version, was recorded.
	At time.Time
}

// Of returns the begin of a stream at a process that started at ranAt, for which the list names a version and a start. A row may be older than
// the process under the same id, and then does not name the version of the process.
func Of(server, version string, listedAt, ranAt int64) Begin {
	if ranAt == 0 {
		ranAt = listedAt
	}

	begin := Begin{Server: server, StartedAt: ranAt}

	if ranAt == listedAt || listedAt == 0 {
		begin.Version, begin.Known = version, true
	}

	return begin
}

// Records holds the begins of streams by the id of the attempt of the client that brought the first event. It is safe for concurrent use, and
// the zero value is ready to use.
type Records struct {
	mu sync.Mutex
	// begins is keyed by attempt.
	begins map[string]Begin
	// order holds the keys in the order in which they were added.
	order []string
}

// Put records the begin of a stream. A later one replaces it: the earlier server had sent nothing that reached the client, or both have the
// same version.
func (r *Records) Put(now time.Time, attempt string, begin Begin) {
	if attempt == "" || len(attempt) > maxIDBytes {
		return
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if r.begins == nil {
		r.begins = map[string]Begin{}
	}

	if _, ok := r.begins[attempt]; !ok {
		r.order = append(r.order, attempt)
	}

	begin.At = now
	r.begins[attempt] = begin

	r.shrink(now)
}

// shrink forgets begins that are too old, and the oldest ones beyond maxRecords. The lock must be held.
func (r *Records) shrink(now time.Time) {
	for len(r.order) > 0 {
		oldest := r.order[0]
		begin := r.begins[oldest]

		if len(r.order) <= maxRecords && now.Sub(begin.At) <= lifetime {
			return
		}

		delete(r.begins, oldest)
		r.order = r.order[1:]
	}
}

// Get returns the begin of a stream; false if it is not known.
func (r *Records) Get(now time.Time, attempt string) (Begin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	begin, ok := r.begins[attempt]

	return begin, ok && now.Sub(begin.At) <= lifetime
}

// Count returns the number of begins that are remembered.
func (r *Records) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.begins)
}
