package freshness

import (
	"sync"
	"time"
)

// Echo names a moment by a clock reading of its receiver: the receiver sent the reading Stamp, and After is the time from
// its arrival to the moment, which is negative for an earlier one.
type Echo struct {
	Stamp time.Duration
	After time.Duration
}

// Moment returns the moment on the receiver's clock. The true moment is later by the time that the reading took to arrive,
// so that a message that was delayed or read late never makes a confirmation look newer than it is.
func (e Echo) Moment() time.Duration {
	return e.Stamp + e.After
}

// Peer translates moments to the clock of another process. It is safe for concurrent use.
type Peer struct {
	mu      sync.Mutex
	stamp   time.Duration
	arrived time.Duration
	known   bool
}

// Hear takes a clock reading of the other process and the local time of its arrival.
func (p *Peer) Hear(stamp, arrived time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.stamp, p.arrived, p.known = stamp, arrived, true
}

// Echo names a moment of the local clock; false if the other process has sent no reading yet.
func (p *Peer) Echo(moment time.Duration) (Echo, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return Echo{Stamp: p.stamp, After: moment - p.arrived}, p.known
}
