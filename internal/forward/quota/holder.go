// Package quota keeps client accounts within their agreed share. One agent holds the bucket of an account, and entries
// take tokens from it in advance; an entry that cannot reach the holder spends a small share of its own.
package quota

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
)

// tenureSlack is how far the views of entries on the start of a tenure may differ.
const tenureSlack = 3 * time.Second

// Tenure says since when an entry has taken a holder for that of an account.
type Tenure struct {
	// Age is the time since then.
	Age time.Duration
	// Moved says that the entry took another holder for it before.
	Moved bool
}

// Holder holds the buckets of client accounts. It is not safe for concurrent use.
type Holder struct {
	held map[string]*holding
}

type holding struct {
	bucket *bucket.Bucket
	// rate and burst are in units of the bucket.
	rate, burst int64
	// since is the start of the tenure.
	since time.Time
	used  bool
}

// Set creates or changes the bucket of an account.
func (h *Holder) Set(now time.Time, account string, rate, burst float64) {
	if h.held == nil {
		h.held = map[string]*holding{}
	}

	perSecond, size := micro(rate), micro(burst)

	found := h.held[account]
	if found == nil {
		h.held[account] = &holding{bucket: bucket.New(now, perSecond, size, 0), rate: perSecond, burst: size}
		return
	}

	found.bucket.SetLimits(now, perSecond, size)
	found.rate, found.burst = perSecond, size
}

// Take returns up to the wanted tokens of an account; none for an unknown one. At the start of a tenure the bucket is empty,
// because the holder before may have given out the same tokens.
func (h *Holder) Take(now time.Time, account string, wanted float64, tenure Tenure) float64 {
	found := h.held[account]
	if found == nil {
		return 0
	}

	since := now.Add(-tenure.Age)

	if !found.used || tenure.Moved && since.After(found.since.Add(tenureSlack)) {
		found.used = true
		found.since = since
		found.restart(now, tenure.Age)
	}

	mark, taken := found.bucket.Debit(now, micro(wanted))
	found.bucket.CloseDebit(mark)

	return float64(taken) / bucket.UnitsPerToken
}

// restart leaves what the rate has yielded since the start of the tenure.
func (h *holding) restart(now time.Time, age time.Duration) {
	level := min(h.bucket.Level(now), bucket.Refill(h.rate, age))
	h.bucket = bucket.New(now, h.rate, h.burst, level)
}

func micro(tokens float64) int64 {
	return int64(tokens * bucket.UnitsPerToken)
}
