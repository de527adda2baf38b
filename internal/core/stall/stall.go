// Package stall tells how late a process may have read a signal, because it got no processor time or was stopped.
package stall

import (
	"context"
	"sync"
	"time"
)

// Period is the time between two ticks of a process that gets processor time.
const Period = 100 * time.Millisecond

// Monitor records when the process ran. It is safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// last and previous are the latest two ticks, at least Period apart; zero before them.
	last, previous time.Time
}

// Run records a tick in each Period until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		m.tick(time.Now())

		select {
		case <-ctx.Done():
			return
		case <-time.After(Period):
		}
	}
}

func (m *Monitor) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.previous, m.last = m.last, now
}

// Late returns how long ago a signal that is read now may have been sent at most, beyond what is usual; 0 if the process has run as it
// should. The signal would have been read soon after any tick that came after it.
func (m *Monitor) Late(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()

	ran := m.last
	if now.Sub(ran) < Period {
		// The signal and the latest tick may have waited for the same end of a stall.
		ran = m.previous
	}

	if ran.IsZero() {
		return 0
	}

	return max(now.Sub(ran)-2*Period, 0)
}
