// Package usage counts the requests of client accounts by window for the usage reports, and decides which reports are due. It makes no calls.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// minKept is the least number of windows whose counts an entry keeps and sends to agents; agents keep maxReported.
	minKept = 4
	// decideTimeout is how long a plain request counts as not decided after it was sent; most refusals arrive sooner.
	decideTimeout = 500 * time.Millisecond
	// maxUntimed is the number of requests that are kept while the true time is not known.
	maxUntimed = 1 << 16
	// maxAccounts is the number of client accounts that are counted in a window.
	maxAccounts = 1 << 14
)

// Counts is the number of requests that began to run, by client account.
type Counts map[string]int64

// Window is the counts of one window.
type Window struct {
	Number int64
	// Revision rises with each reading of the counts of a process; 0 if it is not known. Counts may also fall: a server may refuse a plain request
	// that was counted.
	Revision int64
	Counts   Counts
}

// Sent is a plain request that was sent. It counts unless the server refuses it.
type Sent struct {
	account string
	at      time.Duration
	// window is the window in which the request was counted, if counted is true.
	window  int64
	counted bool
	decided bool
}

// untimedRequest is a request that began before the true time was known.
type untimedRequest struct {
	account string
	at      time.Duration
}

// Counter counts the requests of one entry. Times are local until SetOffset states how they relate to the true time. It is safe for concurrent use.
type Counter struct {
	// Length is the length of a window, and Due the time from its end until its report must have arrived.
	Length, Due time.Duration

	mu sync.Mutex
	// offset is the difference between the true time and the local time; it is set if hasOffset is true.
	offset    time.Duration
	hasOffset bool
	// untimed holds the requests before the true time was known.
	untimed []untimedRequest
	// sent holds the plain requests that are not decided, in the order in which they were sent.
	sent    []*Sent
	windows map[int64]Counts
	// revision is that of the last reading of the counts.
	revision int64
}

// SetOffset sets the difference between the true time, since the start of 1970, and the local time, and counts the requests that began before
// it was known.
func (c *Counter) SetOffset(offset time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.offset, c.hasOffset = offset, true

	for _, request := range c.untimed {
		c.add(request.account, request.at)
	}

	c.untimed = nil
}

// Begin counts a request that has begun to run.
func (c *Counter) Begin(now time.Duration, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.add(account, now)
}

// Send records a plain request that is about to be sent.
func (c *Counter) Send(now time.Duration, account string) *Sent {
	c.mu.Lock()
	defer c.mu.Unlock()

	request := &Sent{account: account, at: now}
	c.sent = append(c.sent, request)

	return request
}

// Decide records whether a plain request ran, or may have run.
func (c *Counter) Decide(request *Sent, ran bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	request.decided = true

	switch {
	case ran && !request.counted:
		c.add(request.account, request.at)
	case !ran && request.counted:
		c.addTo(request.window, request.account, -1)
	}

	c.sent = slices.DeleteFunc(c.sent, func(other *Sent) bool { return other.decided })
}

// Windows returns the counts of the latest windows, oldest first, and forgets earlier ones. It returns none while the true time is not known.
func (c *Counter) Windows(now time.Duration) []Window {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.hasOffset {
		return nil
	}

	c.countUndecided(now)

	current := Number(now+c.offset, c.Length)
	oldest := current - min(max(int64(c.Due/c.Length)+2, minKept), maxReported) + 1

	// Later windows than the next one were counted while the clock was ahead. The next one is kept: a small correction may have set the time back.
	maps.DeleteFunc(c.windows, func(number int64, _ Counts) bool { return number < oldest || number > current+1 })

	c.revision++

	windows := make([]Window, 0, len(c.windows))
	for number, counts := range c.windows {
		windows = append(windows, Window{Number: number, Revision: c.revision, Counts: maps.Clone(counts)})
	}

	slices.SortFunc(windows, func(a, b Window) int { return cmp.Compare(a.Number, b.Number) })

	return windows
}

// countUndecided counts the plain requests that no server has refused for a while. The lock must be held.
func (c *Counter) countUndecided(now time.Duration) {
	for _, request := range c.sent {
		if now-request.at < decideTimeout {
			return
		}

		if !request.counted {
			request.counted = true
			request.window = Number(request.at+c.offset, c.Length)
			c.addTo(request.window, request.account, 1)
		}
	}
}

// add counts a request of a client account that began at a local time. The lock must be held.
func (c *Counter) add(account string, at time.Duration) {
	if !c.hasOffset {
		if len(c.untimed) < maxUntimed {
			c.untimed = append(c.untimed, untimedRequest{account: account, at: at})
		}

		return
	}

	c.addTo(Number(at+c.offset, c.Length), account, 1)
}

// addTo adds to the count of a client account in a window. The lock must be held.
func (c *Counter) addTo(number int64, account string, n int64) {
	if c.windows == nil {
		c.windows = map[int64]Counts{}
	}

	if c.windows[number] == nil {
		c.windows[number] = Counts{}
	}

	counts := c.windows[number]
	if _, known := counts[account]; !known && len(counts) >= maxAccounts {
		return
	}

	counts[account] += n

	if counts[account] <= 0 {
		delete(counts, account)
	}
}

// Number returns the number of the window of the given length in which a true time is, which is measured from the start of 1970.
func Number(unix, length time.Duration) int64 {
	return int64(unix / length)
}

// End returns the true time at which a window ends.
func End(number int64, length time.Duration) time.Duration {
	return time.Duration(number+1) * length
}

// TrueOffset returns the median of the differences between the time of day of VMs and the local time. The clocks of some VMs may be wrong by
// seconds. Of an even number it is the lower one of the two in the middle.
func TrueOffset(differences []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(differences))

	return sorted[(len(sorted)-1)/2]
}
