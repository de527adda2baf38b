package usage

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
)

const (
	// riseDivisor and fallDivisor limit how fast the offset of an anchor follows the clocks of holders: it rises, or falls, by at most the time that
	// has passed on the store's clock, divided by them. Clocks that are right drift by less than one part in a thousand. An offset that is too low
	// makes reports late and rises by a minute in 50 minutes. If it rose faster, more windows would be skipped after a restore: those of up to one
	// part in riseDivisor of the age of the copy. An offset that is too high only makes the limit weaker.
	riseDivisor = 50
	fallDivisor = 1000
	// maxAnchorError is the difference from which an anchor is dropped: it is then assumed that the store's clock began anew. It is longer than the
	// difference between two VM clocks that are each wrong by up to a minute, and limits for how long reports are late if the anchor is wrong.
	maxAnchorError = 3 * time.Minute
)

// highestOffset returns the highest offset that a row can have at a reading of the store's clock if it was written after the one with the anchor.
func highestOffset(anchor lease.Anchor, clock time.Duration) time.Duration {
	return anchor.Offset + max(clock-anchor.At, 0)/riseDivisor
}

// isUsable reports whether an anchor is known and refers to the store's clock as it runs now, by its reading and the true time as this process
// knows it.
func isUsable(anchor lease.Anchor, now, clock time.Duration) bool {
	return anchor != (lease.Anchor{}) && clock >= anchor.At && (now-clock-anchor.Offset).Abs() <= maxAnchorError
}

// Limit returns the time by which windows are to be fixed: the true time as this process knows it, or an earlier one if that is further ahead of
// the store's clock than the row allows. The store's clock reads between earliest and latest. The anchor of the next row is set to match.
func (b *Book) Limit(now, earliest, latest time.Duration) time.Duration {
	offset := now - earliest

	if isUsable(b.base, now, latest) {
		lowest := b.base.Offset - max(earliest-b.base.At, 0)/fallDivisor
		offset = min(max(offset, lowest), highestOffset(b.base, earliest))
	}

	b.anchor = lease.Anchor{Offset: offset, At: earliest}

	return min(now, earliest+offset)
}

// FixedUpTo returns a time by which all windows had ended that others can have fixed before the store's clock read the given time, also in rows that
// this process has not read. It is the true time as this process knows it, which is at, or the latest time by which the row allowed others to fix
// windows, if that is later.
func (b *Book) FixedUpTo(at, clock time.Duration) time.Duration {
	if !isUsable(b.base, at, clock) {
		return at
	}

	return max(at, clock+highestOffset(b.base, clock)-FixDelay)
}
