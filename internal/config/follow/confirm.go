package follow

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// Confirm notes that another process confirmed the version at a moment on this process's clock. The caller allows for the
// time that the message may have been on its way.
func (f *Follower) Confirm(version int64, at time.Time) {
	if version != f.version() || at.After(time.Now()) {
		return
	}

	f.mu.Lock()
	f.fresh.ConfirmTable(at)
	f.mu.Unlock()

	f.publishFresh()
}

// TableAvailable reports whether the last read of the table was answered.
func (f *Follower) TableAvailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return !f.fresh.silent
}

// ReachedAt returns when this process first had the version or a later one, and false if it has not.
func (f *Follower) ReachedAt(version int64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.version() < version {
		return time.Time{}, false
	}

	return f.history.reached(version), true
}

// IsFresh reports whether a process may serve keyed work.
func IsFresh(fresh board.Confirmation, now time.Time) bool {
	return !fresh.AsOf.IsZero() && now.Sub(fresh.AsOf) <= MaxAge
}

// publishFresh writes the confirmation to the board; it never moves back.
func (f *Follower) publishFresh() {
	f.mu.Lock()
	defer f.mu.Unlock()

	version := f.version()
	if version < 0 {
		return
	}

	moment := f.fresh.Confirmed(time.Now(), f.entryDomains())
	before := f.Board.Confirmation.Value()

	if moment.After(before.AsOf) || version > before.Version {
		f.Board.Confirmation.Set(board.Confirmation{Version: version, AsOf: later(before.AsOf, moment)})
	}

	f.measure()
}

// measure updates the metrics.
func (f *Follower) measure() {
	fresh := f.Board.Confirmation.Value()

	versionGauge.Update(fresh.Version)
	heldGauge.Update(int64(len(f.Board.PendingRevocations.Value())))

	if !fresh.AsOf.IsZero() {
		ageGauge.Update(time.Since(fresh.AsOf).Milliseconds())
	}
}
