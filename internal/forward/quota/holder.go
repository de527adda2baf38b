// Package quota keeps client accounts within their rate limits. One agent, the holder, keeps the token bucket of an account,
// and entries take tokens from it in advance; an entry that cannot reach the holder uses a small reserve of its own.
package quota

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/peak"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
)

// tenureTolerance is the maximum difference between entries in the start that they report for the same tenure.
const tenureTolerance = 3 * time.Second

// Tenure is the period for which an entry has regarded an agent as the holder of an account.
type Tenure struct {
	// Age is the time since the start of the tenure.
	Age time.Duration
	// Moved is true if the entry regarded another agent as the holder before.
	Moved bool
}

// Holder holds the token buckets of client accounts. It is not safe for concurrent use.
type Holder struct {
	buckets map[string]*accountBucket
	// entries is the peak of the number of entries in the system.
	entries peak.Peak
	// withheld is the part of each rate that is not granted, because it is the reserve of the entries that are not connected.
	withheld float64
}

// accountBucket is the token bucket of one account.
type accountBucket struct {
	bucket *bucket.Bucket
	// rate and burst are those of the account, in units of the bucket.
	rate, burst int64
	// since is the start of the tenure; it is set if assigned is true.
	since time.Time
	// assigned is true once an entry has taken tokens.
	assigned bool
}

// Set creates or changes the bucket of an account.
func (h *Holder) Set(now time.Time, account string, rate, burst float64) {
	if h.buckets == nil {
		h.buckets = map[string]*accountBucket{}
	}

	perSecond, capacity := toUnits(rate), toUnits(burst)

	found := h.buckets[account]
	if found == nil {
		h.buckets[account] = &accountBucket{bucket: bucket.New(now, h.granted(perSecond), capacity, 0), rate: perSecond, burst: capacity}
		return
	}

	found.bucket.SetLimits(now, h.granted(perSecond), capacity)
	found.rate, found.burst = perSecond, capacity
}

// SetEntries sets the number of entries in the system, as connected entries report it, and the number of connected ones. The
// others may be using their reserves, which are part of the rate of each account, so that much less is granted.
func (h *Holder) SetEntries(now time.Time, reported, connected int) {
	h.entries.Retention = peakRetention
	known := h.entries.Record(now, max(reported, connected))
	withheld := 0.0

	if known > 0 {
		withheld = reserveShare * float64(known-connected) / float64(known)
	}

	if withheld == h.withheld {
		return
	}

	h.withheld = withheld

	for _, account := range h.buckets {
		account.bucket.SetLimits(now, h.granted(account.rate), account.burst)
	}
}

// granted returns the part of a rate that is granted to connected entries.
func (h *Holder) granted(rate int64) int64 {
	return int64(float64(rate) * (1 - h.withheld))
}

// Take returns up to the wanted tokens of an account; none for an unknown one. At the start of a tenure the bucket is empty,
// because the previous holder may have granted the same tokens.
func (h *Holder) Take(now time.Time, account string, wanted float64, tenure Tenure) float64 {
	found := h.buckets[account]
	if found == nil {
		return 0
	}

	since := now.Add(-tenure.Age)

	if !found.assigned || tenure.Moved && since.After(found.since.Add(tenureTolerance)) {
		found.assigned = true
		found.since = since
		found.restart(now, tenure.Age, h.granted(found.rate))
	}

	debitID, taken := found.bucket.Debit(now, toUnits(wanted))
	found.bucket.CloseDebit(debitID)

	return float64(taken) / bucket.UnitsPerToken
}

// restart reduces the level to what the granted rate has added since the start of the tenure.
func (a *accountBucket) restart(now time.Time, age time.Duration, granted int64) {
	level := min(a.bucket.Level(now), bucket.Refill(granted, age))
	a.bucket = bucket.New(now, granted, a.burst, level)
}

// toUnits converts tokens to units of the bucket.
func toUnits(tokens float64) int64 {
	return int64(tokens * bucket.UnitsPerToken)
}
