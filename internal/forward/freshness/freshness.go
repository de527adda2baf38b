// Package freshness tracks how long ago an entry knew that its configuration was the newest.
package freshness

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the VM started, which includes the time that it was suspended.
func Clock() time.Duration {
	var now unix.Timespec

	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}

	return time.Duration(now.Nano())
}

// Tracker maps the store's steady clock to the local one, so that an answer that was read late does not count as fresh.
// An age is too small by the time of the fastest answer at most. It is safe for concurrent use.
type Tracker struct {
	// Now returns the local time; nil uses Clock.
	Now func() time.Duration

	mu sync.Mutex
	// offset is the smallest difference seen between reading an answer and the store's clock in it.
	offset time.Duration
	synced bool
	// confirmed is the local time of the newest confirmation.
	confirmed time.Duration
	known     bool
	// relayed is the local time of the newest confirmation that others have got.
	relayed time.Duration
	heard   bool
}

// Confirm takes the store's clock from an answer that holds the newest configuration, and the local time at which it was
// asked for.
func (t *Tracker) Confirm(asked, store time.Duration) {
	now := t.now()

	t.mu.Lock()
	defer t.mu.Unlock()

	if offset := now - store; !t.synced || offset < t.offset {
		t.offset = offset
		t.synced = true
	}

	// An answer is never older than its question, which also bounds it after the store's clock has started anew.
	at := min(max(store+t.offset, asked), now)

	if !t.known || at > t.confirmed {
		t.confirmed = at
		t.known = true
	}
}

// Reset forgets the store's clock after a reconnection to another store process.
func (t *Tracker) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.synced = false
}

// Relay takes the local time at which the store confirmed the configuration in force to another process.
func (t *Tracker) ConfirmRelayed(at time.Duration) {
	at = min(at, t.now())

	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.heard || at > t.relayed {
		t.relayed = at
		t.heard = true
	}
}

// Confirmed returns the local time of the newest confirmation that the process has got itself; false says that there was
// none.
func (t *Tracker) Confirmed() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.confirmed, t.known
}

// Age returns the time since the newest confirmation that the process has got itself; false says that there was none.
func (t *Tracker) Age() (time.Duration, bool) {
	at, known := t.Confirmed()

	return t.now() - at, known
}

// SharedAge returns the time since the newest confirmation that this process or another has got; false says that there was
// none.
func (t *Tracker) SharedAge() (time.Duration, bool) {
	age, known := t.Age()

	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.heard {
		return age, known
	}

	relayed := t.now() - t.relayed
	if known {
		relayed = min(relayed, age)
	}

	return relayed, true
}

func (t *Tracker) now() time.Duration {
	if t.Now != nil {
		return t.Now()
	}

	return Clock()
}
