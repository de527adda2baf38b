package follow

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// Confirm records that another process confirmed the version at a time on this process's clock. The caller subtracts the time
// that the message may have been in flight.
func (f *Follower) Confirm(version int64, at time.Time) {
	if version != f.version() || at.After(time.Now()) {
		return
	}

	f.mu.Lock()
	f.freshness.ConfirmTable(at)
	f.mu.Unlock()

	f.publishFreshness()
}

// TableAvailable reports whether the last read of the table succeeded.
func (f *Follower) TableAvailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return !f.freshness.tableUnavailable
}

// ReachedAt returns when this process first had the version or a later one, and false if it has not.
func (f *Follower) ReachedAt(version int64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.version() < version {
		return time.Time{}, false
	}

	return f.history.reachedAt(version), true
}

// IsFresh reports whether the last confirmation is recent enough to serve requests that need a key.
func IsFresh(fresh board.Confirmation, now time.Time) bool {
	return !fresh.AsOf.IsZero() && now.Sub(fresh.AsOf) <= MaxConfirmationAge
}

// publishFreshness writes the time of the last confirmation to the board; it never goes back.
func (f *Follower) publishFreshness() {
	f.mu.Lock()
	defer f.mu.Unlock()

	version := f.version()
	if version < 0 {
		return
	}

	confirmed := f.freshness.Confirmed(time.Now(), f.entryDomains())
	previous := f.Board.Confirmation.Value()

	if confirmed.After(previous.AsOf) || version > previous.Version {
		f.Board.Confirmation.Set(board.Confirmation{Version: version, AsOf: laterOf(previous.AsOf, confirmed)})
	}

	f.updateMetrics()
}

func (f *Follower) updateMetrics() {
	fresh := f.Board.Confirmation.Value()

	versionGauge.Update(fresh.Version)
	pendingGauge.Update(int64(len(f.Board.PendingRevocations.Value())))

	if !fresh.AsOf.IsZero() {
		ageGauge.Update(time.Since(fresh.AsOf).Milliseconds())
	}
}
