// Package quota keeps client accounts within their rate limits. One agent, the holder, keeps the token bucket of an account,
// and entries take tokens from it in advance; an entry that cannot reach the holder uses a small reserve of its own.
package quota

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agreement"
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
	// Claim tells by which list of servers the entry regards the agent as the holder.
	Claim agreement.Claim
}

// Holder holds the token buckets of client accounts. Its exported field is set before use. It is not safe for concurrent use.
type Holder struct {
	// Followers tells which lists of servers the connected entries follow; nil if all follow the same one.
	Followers *agreement.Followers

	buckets map[string]*accountBucket
	// entries is the peak of the number of entries in the system, and connected the number of connected ones.
	entries   peak.Peak
	connected int
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
	// claimants holds the lists by which entries have chosen this holder, and part is the part of the entries that follow them.
	claimants agreement.Claimants
	part      agreement.Part
	// granted is the part of rate that the bucket gets.
	granted int64
}

// Set creates or changes the bucket of an account.
func (h *Holder) Set(now time.Time, account string, rate, burst float64) {
	if h.buckets == nil {
		h.buckets = map[string]*accountBucket{}
	}

	perSecond, capacity := toUnits(rate), toUnits(burst)

	found := h.buckets[account]
	if found == nil {
		found = &accountBucket{rate: perSecond, burst: capacity}
		found.granted = h.granted(now, found)
		found.bucket = bucket.New(now, found.granted, capacity, 0)
		h.buckets[account] = found

		return
	}

	found.rate, found.burst = perSecond, capacity
	h.setLimits(now, found)
}

// SetEntries sets the number of entries in the system, as connected entries report it, and the number of connected ones. The
// others may be using their reserves, which are part of the rate of each account, so that much less is granted.
func (h *Holder) SetEntries(now time.Time, reported, connected int) {
	h.entries.Retention = peakRetention
	h.entries.Record(now, max(reported, connected))
	h.connected = connected

	for _, account := range h.buckets {
		if h.granted(now, account) != account.granted {
			h.setLimits(now, account)
		}
	}
}

// setLimits sets the limits of the bucket of an account.
func (h *Holder) setLimits(now time.Time, account *accountBucket) {
	account.granted = h.granted(now, account)
	account.bucket.SetLimits(now, account.granted, account.burst)
}

// granted returns the part of the rate of an account that is granted: without the reserves of entries that are lost, and without the shares of
// those that may take from another holder.
func (h *Holder) granted(now time.Time, account *accountBucket) int64 {
	alive := max(h.connected, account.part.Alive)

	known := max(h.entries.Get(now), alive)
	if known == 0 {
		return account.rate
	}

	withheld := (reserveShare*float64(known-alive) + float64(account.part.Others)) / float64(known)

	return int64(float64(account.rate) * (1 - withheld))
}

// Take returns up to the wanted tokens of an account; none for an unknown one. At the start of a tenure the bucket is empty,
// because the previous holder may have granted the same tokens.
func (h *Holder) Take(now time.Time, account string, wanted float64, tenure Tenure) float64 {
	found := h.buckets[account]
	if found == nil {
		return 0
	}

	if part := found.claimants.Add(now, tenure.Claim, h.Followers); part != found.part {
		found.part = part
		h.setLimits(now, found)
	}

	since := now.Add(-tenure.Age)

	if !found.assigned || tenure.Moved && since.After(found.since.Add(tenureTolerance)) {
		found.assigned = true
		found.since = since
		found.restart(now, tenure.Age)
	}

	debitID, taken := found.bucket.Debit(now, min(toUnits(wanted), found.available(now)))
	found.bucket.CloseDebit(debitID)

	return float64(taken) / bucket.UnitsPerToken
}

// available returns the units that may be taken: without the part of the burst that entries may take from another holder.
func (a *accountBucket) available(now time.Time) int64 {
	others := int64(float64(a.burst) * (1 - a.part.Share()))

	return max(a.bucket.Level(now)-others, 0)
}

// restart reduces the level to what the granted rate has added since the start of the tenure.
func (a *accountBucket) restart(now time.Time, age time.Duration) {
	level := min(a.bucket.Level(now), bucket.Refill(a.granted, age))
	a.bucket = bucket.New(now, a.granted, a.burst, level)
}

// toUnits converts tokens to units of the bucket.
func toUnits(tokens float64) int64 {
	return int64(tokens * bucket.UnitsPerToken)
}
