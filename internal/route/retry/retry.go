// Package retry bounds how often requests are sent again.
package retry

import (
	"sync"
	"time"
)

const (
	// MaxServers is the highest number of servers that one request is sent to.
	MaxServers = 3
	// share is the part of recent requests that may be retried.
	share = 0.1
	// floor is the number of retries in a window that are allowed whatever the traffic, so that a quiet entry can retry.
	floor = 10
	// window is the time that counts as recent.
	window = 10 * time.Second
	// slots is the number of parts into which the window is divided.
	slots = 10
)

// Budget allows retries up to a share of recent requests. It is safe for concurrent use; the zero value is ready.
type Budget struct {
	mu      sync.Mutex
	slots   [slots]slot
	current int64
}

type slot struct {
	requests int
	retries  int
}

// Request counts a new request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.advance(now).requests++
}

// Retry counts a retry and reports whether it is allowed.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	current := b.advance(now)

	var total slot

	for _, part := range b.slots {
		total.requests += part.requests
		total.retries += part.retries
	}

	if float64(total.retries) >= floor+share*float64(total.requests) {
		return false
	}

	current.retries++

	return true
}

// advance empties the slots that have left the window and returns the current one.
func (b *Budget) advance(now time.Time) *slot {
	number := now.UnixNano() / int64(window/slots)
	if number > b.current {
		for passed := max(b.current+1, number-slots+1); passed <= number; passed++ {
			b.slots[passed%slots] = slot{}
		}

		b.current = number
	}

	return &b.slots[b.current%slots]
}
