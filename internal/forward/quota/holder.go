// Package quota keeps client accounts within their rate limits. One agent, the holder, keeps the token bucket of an account,
// and entries take tokens from it in advance; an entry that cannot reach the holder uses a small reserve of its own.
package quota

import (
	"time"

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
}

// accountBucket is the token bucket of one account.
type accountBucket struct {
	bucket *bucket.Bucket
	// rate and burst are in units of the bucket.
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
		h.buckets[account] = &accountBucket{bucket: bucket.New(now, perSecond, capacity, 0), rate: perSecond, burst: capacity}
		return
	}

	found.bucket.SetLimits(now, perSecond, capacity)
	found.rate, found.burst = perSecond, capacity
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
		found.restart(now, tenure.Age)
	}

	debitID, taken := found.bucket.Debit(now, toUnits(wanted))
	found.bucket.CloseDebit(debitID)

	return float64(taken) / bucket.UnitsPerToken
}

// restart reduces the level to what the rate has added since the start of the tenure.
func (h *accountBucket) restart(now time.Time, age time.Duration) {
	level := min(h.bucket.Level(now), bucket.Refill(h.rate, age))
	h.bucket = bucket.New(now, h.rate, h.burst, level)
}

// toUnits converts tokens to units of the bucket.
func toUnits(tokens float64) int64 {
	return int64(tokens * bucket.UnitsPerToken)
}
