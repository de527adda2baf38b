package stall

import (
	"context"
	"sync"
	"time"
)

// meterPeriod is the time between two ticks of a Meter, by which a standstill may be underestimated.
const meterPeriod = 25 * time.Millisecond

// Meter adds up the time for which the process got no processor time or was stopped. It is safe for concurrent use; the zero value reports no
// standstill until Run is called.
type Meter struct {
	mu    sync.Mutex
	total time.Duration
	// last is the latest tick; zero before the first one.
	last time.Time
}

// Run measures until the context ends.
func (m *Meter) Run(ctx context.Context) {
	for {
		m.tick(time.Now())

		select {
		case <-ctx.Done():
			return
		case <-time.After(meterPeriod):
		}
	}
}

func (m *Meter) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.total += m.sinceDue(now)
	m.last = now
}

// Total returns the time for which the process has stood still until now. It includes a standstill after which no tick has come yet.
func (m *Meter) Total(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.total + m.sinceDue(now)
}

// sinceDue returns how late the next tick is; 0 if it is late by less than a period, which is usual. The lock must be held.
func (m *Meter) sinceDue(now time.Time) time.Duration {
	if m.last.IsZero() {
		return 0
	}

	late := now.Sub(m.last) - meterPeriod
	if late < meterPeriod {
		return 0
	}

	return late
}
