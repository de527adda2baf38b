package freshness

import (
	"sync"
	"time"
)

// PeerTime is a time expressed by a clock reading of its receiver, so that the clocks need not be synchronized.
type PeerTime struct {
	// Reading is the clock reading that the receiver sent.
	Reading time.Duration
	// Offset is the duration from the arrival of the reading to the time; it is negative for an earlier time.
	Offset time.Duration
}

// Local returns the time on the receiver's clock. The true time is later by the latency of the reading, so that a message that
// was delayed or read late never makes a confirmation look newer than it is.
func (t PeerTime) Local() time.Duration {
	return t.Reading + t.Offset
}

// PeerClock converts local times to the clock of another process. It is safe for concurrent use.
type PeerClock struct {
	mu        sync.Mutex
	reading   time.Duration
	arrivedAt time.Duration
	known     bool
}

// Observe records a clock reading of the other process and the local time of its arrival.
func (p *PeerClock) Observe(reading, arrivedAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.reading, p.arrivedAt, p.known = reading, arrivedAt, true
}

// ToPeer expresses a local time for the other process; false if no reading of its clock has arrived yet.
func (p *PeerClock) ToPeer(local time.Duration) (PeerTime, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return PeerTime{Reading: p.reading, Offset: local - p.arrivedAt}, p.known
}
