// Package memory bounds the memory that many calls under way take together.
package memory

import "sync/atomic"

// Budget is the memory that all its reservations may take together. It is safe for concurrent use.
type Budget struct {
	// Limit is in bytes; 0 means no limit.
	Limit int64

	used atomic.Int64
}

// take reserves bytes and reports whether there were enough.
func (b *Budget) take(bytes int64) bool {
	if used := b.used.Add(bytes); b.Limit > 0 && used > b.Limit {
		b.used.Add(-bytes)
		return false
	}

	return true
}

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// Reservation is what one call takes of a budget. It is not safe for concurrent use.
type Reservation struct {
	// Budget may be nil, for no limit.
	Budget *Budget
	// Free is the size up to which a call takes nothing, so that calls of the usual size never fail.
	Free int64

	taken int64
}

// Resize sets the size of what is kept and reports whether the budget allows it. If not, the reservation keeps its size.
func (r *Reservation) Resize(bytes int64) bool {
	if r.Budget == nil {
		return true
	}

	wanted := max(bytes-r.Free, 0)

	if wanted > r.taken && !r.Budget.take(wanted-r.taken) {
		return false
	}

	if wanted < r.taken {
		r.Budget.used.Add(wanted - r.taken)
	}

	r.taken = wanted

	return true
}

// Release gives back all of it.
func (r *Reservation) Release() {
	r.Resize(0)
}
