// Package terms derives the rate and the burst of an account and of its shares from the fleet document and an assignment.
package terms

import (
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// WeightStoreAccount is the reserved account that limits loads from the weight store. One token is one load.
const WeightStoreAccount = "weights"

const (
	// weightStoreRate is the number of loads per second that the weight store allows.
	weightStoreRate = 4
	// weightStoreBurst keeps the loads in flight at or below 8 when a load takes a quarter second.
	weightStoreBurst = 6
)

// TotalShare is the sum of all shares of an account, in millionths.
const TotalShare = 1_000_000

// Limits are the limits of an account across the fleet.
type Limits struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst int64
}

// LimitsOf returns the limits of an account; ok is false if the document does not contain it.
func LimitsOf(doc *document.Document, account string) (limits Limits, ok bool) {
	if account == WeightStoreAccount {
		return Limits{Rate: weightStoreRate, Burst: weightStoreBurst}, true
	}

	if doc == nil {
		return Limits{}, false
	}

	found, ok := doc.Accounts[account]

	return Limits{Rate: found.Rate, Burst: found.Burst}, ok
}

// Range is the part of an account that a holder has, as the interval from Start to End within 0 to TotalShare.
type Range struct {
	Start int64
	End   int64
}

// RangeOf returns the range of the holder at an index. The ranges of an assignment are contiguous, in the order of its holders.
func RangeOf(assignment board.Assignment, index int) Range {
	start := int64(0)
	for _, holder := range assignment.Holders[:index] {
		start += holder.Share
	}

	return Range{Start: start, End: start + assignment.Holders[index].Share}
}

// Share returns the size of the range in millionths.
func (r Range) Share() int64 {
	return r.End - r.Start
}

// Within reports whether the range lies within another one.
func (r Range) Within(other Range) bool {
	return r.Start >= other.Start && r.End <= other.End
}

// ForRange returns the rate and the capacity of a range in bucket units. Capacities are whole tokens that add up to the burst
// for any division into ranges; with fractional capacities, full holders could not supply an amount equal to the burst.
func (t Limits) ForRange(r Range) (rate, capacity int64) {
	rate = int64(t.Rate * float64(r.Share()))
	capacity = (t.Burst*r.End/TotalShare - t.Burst*r.Start/TotalShare) * bucket.UnitsPerToken

	return rate, capacity
}
