// Package freshness tracks how long ago the store confirmed to an entry that its configuration was the newest.
package freshness

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the VM was booted, which includes the time in which it was suspended.
func Clock() time.Duration {
	var now unix.Timespec

	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}

	return time.Duration(now.Nano())
}

// Tracker tracks the age of the configuration. It maps the store's monotonic clock to the local one, so that an answer that was
// read late does not count as recent: an age is too low by at most the latency of the fastest answer, and that of the first answer not at
// all. It is safe for concurrent use.
type Tracker struct {
	// Now returns the local time; nil uses Clock.
	Now func() time.Duration

	mu sync.Mutex
	// offset is the smallest difference seen between the local time of an answer and the store's clock in it; it is set if
	// hasOffset is true.
	offset    time.Duration
	hasOffset bool
	// confirmed is the local time of the newest confirmation; it is set if hasConfirmed is true.
	confirmed    time.Duration
	hasConfirmed bool
	// relayed is the local time of the newest confirmation that another process received; it is set if hasRelayed is true.
	relayed    time.Duration
	hasRelayed bool
	// failingSince is the local time of the first failed call since the last confirmation by the store; it is set if failing is
	// true.
	failingSince time.Duration
	failing      bool
}

// Confirm records a confirmation: the store's clock in an answer with the newest configuration, and the local time at which
// the request for it was sent.
func (t *Tracker) Confirm(requested, store time.Duration) {
	now := t.Clock()

	t.mu.Lock()
	defer t.mu.Unlock()

	// An answer is never older than its request, which also bounds the time after the store's clock was reset.
	at := min(requested, now)

	// The first answer does not tell how late it was read.
	if t.hasOffset {
		at = min(max(store+min(t.offset, now-store), requested), now)
	}

	t.mapClock(now, store)
	t.failing = false

	if !t.hasConfirmed || at > t.confirmed {
		t.confirmed = at
		t.hasConfirmed = true
	}
}

// Reset discards the mapping of the store's clock after a reconnection to another store process.
func (t *Tracker) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.hasOffset = false
}

// Fail records a failed call of the store.
func (t *Tracker) Fail() {
	now := t.Clock()

	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.failing {
		t.failingSince, t.failing = now, true
	}
}

// Recover records that the store responds again, with its clock in an answer that confirms nothing.
func (t *Tracker) Recover(store time.Duration) {
	now := t.Clock()

	t.mu.Lock()
	defer t.mu.Unlock()

	t.mapClock(now, store)
	t.failing = false
}

// mapClock maps the store's clock to the local one by an answer that is read now.
func (t *Tracker) mapClock(now, store time.Duration) {
	if offset := now - store; !t.hasOffset || offset < t.offset {
		t.offset, t.hasOffset = offset, true
	}
}

// FailingFor returns the time since the first failed call after the last confirmation by the store; 0 if there was none.
func (t *Tracker) FailingFor() time.Duration {
	now := t.Clock()

	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.failing {
		return 0
	}

	return now - t.failingSince
}

// ConfirmRelayed records the local time at which the store confirmed the configuration in force to another process.
func (t *Tracker) ConfirmRelayed(at time.Duration) {
	at = min(at, t.Clock())

	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.hasRelayed || at > t.relayed {
		t.relayed = at
		t.hasRelayed = true
	}
}

// Confirmed returns the local time of the newest confirmation that this process received from the store; false if there is
// none.
func (t *Tracker) Confirmed() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.confirmed, t.hasConfirmed
}

// Age returns the time since the newest confirmation that this process received from the store; false if there is none.
func (t *Tracker) Age() (time.Duration, bool) {
	at, known := t.Confirmed()

	return t.Clock() - at, known
}

// SharedAge returns the time since the newest confirmation that this process or another one received from the store; false if
// there is none.
func (t *Tracker) SharedAge() (time.Duration, bool) {
	age, known := t.Age()

	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.hasRelayed {
		return age, known
	}

	relayed := t.Clock() - t.relayed
	if known {
		relayed = min(relayed, age)
	}

	return relayed, true
}

// Clock returns the local time: a reading of Now, or of the function Clock.
func (t *Tracker) Clock() time.Duration {
	if t.Now != nil {
		return t.Now()
	}

	return Clock()
}
