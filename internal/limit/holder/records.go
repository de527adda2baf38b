package holder

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
)

const (
	// recordLimit bounds the debits remembered for each account; a record takes about 200 bytes.
	recordLimit = 1 << 16
	// recordAge is longer than any request runs; a refund that comes later credits nothing.
	recordAge = 10 * time.Minute
)

// record is one debit, or a refund that came before its debit.
type record struct {
	id   string
	mark bucket.Mark
	// taken is in tokens.
	taken int64
	// credited is in tokens.
	credited int64
	refunded bool
	at       time.Time
}

// records finds debits by request id. It is bounded in number and age; the oldest are dropped first.
type records struct {
	byID  map[string]*record
	queue []*record
}

func (r *records) find(id string) *record {
	return r.byID[id]
}

// add stores a record and returns those that were dropped for it.
func (r *records) add(now time.Time, entry *record) []*record {
	if r.byID == nil {
		r.byID = map[string]*record{}
	}

	drop := 0
	for drop < len(r.queue) && (len(r.queue)-drop >= recordLimit || now.Sub(r.queue[drop].at) > recordAge) {
		delete(r.byID, r.queue[drop].id)
		drop++
	}

	dropped := r.queue[:drop]
	r.queue = append(r.queue[drop:], entry)
	r.byID[entry.id] = entry

	return dropped
}
