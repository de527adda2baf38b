// Package memory bounds the memory that many calls under way take together.
package memory

import "sync/atomic"

// Budget is the memory that all its reservations may take together. It is safe for concurrent use.
type Budget struct {
	// Limit is in bytes; 0 means no limit.
	Limit int64
	// Headroom is the part of Limit that only one growing reservation may use at a time, the first one. Without it, reservations that grow at the
	// same time may take the whole budget before any of them has reached its size, and all fail.
	Headroom int64

	used atomic.Int64
	// first is the reservation that may use the headroom; nil if none grows.
	first atomic.Pointer[Reservation]
}

// take reserves bytes for a reservation and reports whether there were enough. The reservation gets the headroom if no other one has it.
func (b *Budget) take(r *Reservation, bytes int64) bool {
	limit := b.Limit
	if b.Headroom > 0 && !b.first.CompareAndSwap(nil, r) && b.first.Load() != r {
		limit -= b.Headroom
	}

	// The bytes are added only if there are enough: others would be refused because of bytes that are added and subtracted again.
	for {
		used := b.used.Load()
		if b.Limit > 0 && used+bytes > limit {
			return false
		}

		if b.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
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

	if wanted > r.taken && !r.Budget.take(r, wanted-r.taken) {
		return false
	}

	if wanted < r.taken {
		r.Budget.used.Add(wanted - r.taken)
	}

	r.taken = wanted

	return true
}

// Settle leaves the headroom to other reservations: this one does not grow for now.
func (r *Reservation) Settle() {
	if r.Budget != nil {
		r.Budget.first.CompareAndSwap(r, nil)
	}
}

// Release gives back all of it.
func (r *Reservation) Release() {
	r.Resize(0)
	r.Settle()
}
