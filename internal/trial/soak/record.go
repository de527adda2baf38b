package soak

import (
	"fmt"
	"sync"
	"time"
)

// historyWindow is the time before and after a start within which events are included in its history.
const historyWindow = 5 * time.Second

// start is the start of one request at a backend server.
type start struct {
	// at is the time at which the agent called the backend server.
	at     time.Time
	server string
	domain string
}

// Record is what callers, engines and order servers observed in a run.
type Record struct {
	// secrets are the keys of all callers. They are set before the first process starts.
	secrets []string

	mu sync.Mutex
	// starts maps the nonce of a request to its starts.
	starts  map[string][]start
	results []*callResult
	events  []event
	// violations are the violations found so far.
	violations []string
}

// event is an operation that changes which requests may run, or the begin or end of a fault.
type event struct {
	at   time.Time
	kind string
	name string
}

func newRecord() *Record {
	return &Record{starts: map[string][]start{}}
}

func (r *Record) recordStart(nonce string, one start) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.starts[nonce] = append(r.starts[nonce], one)
}

func (r *Record) recordResult(one *callResult) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.results = append(r.results, one)
}

func (r *Record) recordEvent(kind, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.events = append(r.events, event{at: time.Now(), kind: kind, name: name})
}

func (r *Record) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// history describes the calls with a nonce, their starts and the events around these.
func (r *Record) history(nonce string) string {
	text := ""

	for _, each := range r.results {
		if each.nonce == nonce {
			text += fmt.Sprintf("%s@%s %s to %s at %s: %s %s %v; ", each.adapter, each.version,
				each.sent.Format(time.StampMilli), each.ended.Format(time.StampMilli), each.entry, each.class(), each.message, each.err)
		}
	}

	for _, one := range r.starts[nonce] {
		text += fmt.Sprintf("ran %s at %s; ", one.at.Format(time.StampMilli), one.server)

		for _, each := range r.events {
			if age := one.at.Sub(each.at); age.Abs() < historyWindow {
				text += fmt.Sprintf("%s %s %s; ", each.at.Format(time.StampMilli), each.kind, each.name)
			}
		}
	}

	return text
}
