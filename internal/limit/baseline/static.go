// Package baseline implements simpler rate limiters as baselines for measurements. No process uses it.
package baseline

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
)

// StaticSplit divides an account evenly between the entries and never transfers tokens between them. It is not safe for
// concurrent use.
type StaticSplit struct {
	buckets []*bucket.Bucket
}

// NewStaticSplit returns a split with a full bucket for each of a number of entries.
func NewStaticSplit(now time.Time, limits terms.Limits, entries int) *StaticSplit {
	split := &StaticSplit{}

	for i := range int64(entries) {
		part := terms.Range{Start: terms.TotalShare * i / int64(entries), End: terms.TotalShare * (i + 1) / int64(entries)}
		rate, capacity := limits.ForRange(part)
		split.buckets = append(split.buckets, bucket.New(now, rate, capacity, capacity))
	}

	return split
}

// Debit takes the whole amount of tokens from an entry's part, or nothing.
func (s *StaticSplit) Debit(now time.Time, entry int, amount int64) (bucket.DebitID, bool) {
	return s.buckets[entry].DebitExact(now, amount*bucket.UnitsPerToken)
}

// Refund closes a debit and returns its unused tokens to the entry's part.
func (s *StaticSplit) Refund(now time.Time, entry int, debit bucket.DebitID, unused int64) {
	s.buckets[entry].Refund(now, debit, unused*bucket.UnitsPerToken)
}
