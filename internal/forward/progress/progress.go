// Package progress lets few entries watch the platform's store for all of them. A reader watches a topic of the store and
// publishes, through the agents, its newest change and when the store confirmed that there was none after it. The other entries
// read the topic only if they have not read that change yet or if the confirmations stop.
package progress

import "time"

// Mark identifies a change of a topic.
type Mark struct {
	// Era counts how often the store was restored from a copy. Versions are given out again in each era.
	Era int64
	// Version is the version of the store at the change.
	Version int64
}

// Before reports whether the mark is older than another one.
func (m Mark) Before(other Mark) bool {
	if m.Era != other.Era {
		return m.Era < other.Era
	}

	return m.Version < other.Version
}

// Confirmation states that the topic did not change after Newest until At.
type Confirmation struct {
	Newest Mark
	// At is a reading of freshness.Clock.
	At time.Duration
	// Regained is when the store responded again after calls had failed, as a reading of freshness.Clock; it is set if Failed is
	// true. Servers that vanish from the list soon after it may be alive.
	Regained time.Duration
	Failed   bool
}

// Latest holds the latest of several confirmations. It is not safe for concurrent use.
type Latest struct {
	confirmation Confirmation
	known        bool
}

// Observe adds a confirmation and reports whether it names a newer change than all before.
func (l *Latest) Observe(c Confirmation) bool {
	switch {
	case !l.known || l.confirmation.Newest.Before(c.Newest):
		l.confirmation, l.known = c, true
		return true
	case c.Newest == l.confirmation.Newest:
		l.confirmation.At = max(l.confirmation.At, c.At)

		if c.Failed && (!l.confirmation.Failed || c.Regained > l.confirmation.Regained) {
			l.confirmation.Regained, l.confirmation.Failed = c.Regained, true
		}
	}

	return false
}

// Get returns the latest confirmation; false if there is none.
func (l *Latest) Get() (Confirmation, bool) {
	return l.confirmation, l.known
}
