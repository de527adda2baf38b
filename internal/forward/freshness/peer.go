package freshness

import (
	"sync"
	"time"
)

// Echo names a moment by a clock reading of its receiver: the receiver sent the reading Stamp, and After is the time from
// its arrival to the moment, which is negative for an earlier one.
type PeerTime struct {
	Reading time.Duration
	Offset  time.Duration
}

// Moment returns the moment on the receiver's clock. The true moment is later by the time that the reading took to arrive,
// so that a message that was delayed or read late never makes a confirmation look newer than it is.
func (e PeerTime) Local() time.Duration {
	return e.Reading + e.Offset
}

// Peer translates moments to the clock of another process. It is safe for concurrent use.
type PeerClock struct {
	mu      sync.Mutex
	stamp   time.Duration
	arrived time.Duration
	known   bool
}

// Hear takes a clock reading of the other process and the local time of its arrival.
func (p *PeerClock) Observe(stamp, arrived time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.stamp, p.arrived, p.known = stamp, arrived, true
}

// Echo names a moment of the local clock; false if the other process has sent no reading yet.
func (p *PeerClock) ToPeer(moment time.Duration) (PeerTime, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return PeerTime{Reading: p.stamp, Offset: moment - p.arrived}, p.known
}
