// Package baseline has simpler limits for comparison in measurements; no process uses it.
package baseline

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
)

// Static divides an account evenly between the entries and never moves anything between them.
type Static struct {
	buckets []*bucket.Bucket
}

// NewStatic returns full buckets for a number of entries.
func NewStatic(now time.Time, limits terms.Terms, entries int) *Static {
	split := &Static{}

	for i := range int64(entries) {
		part := terms.Range{Start: terms.Whole * i / int64(entries), End: terms.Whole * (i + 1) / int64(entries)}
		rate, size := limits.Limits(part)
		split.buckets = append(split.buckets, bucket.New(now, rate, size, size))
	}

	return split
}

// Debit takes the whole amount of tokens from an entry's part, or nothing.
func (s *Static) Debit(now time.Time, entry int, amount int64) (bucket.DebitID, bool) {
	return s.buckets[entry].DebitExact(now, amount*bucket.UnitsPerToken)
}

// Refund returns unused tokens to the entry's part.
func (s *Static) Refund(now time.Time, entry int, mark bucket.DebitID, unused int64) {
	s.buckets[entry].Refund(now, mark, unused*bucket.UnitsPerToken)
}
