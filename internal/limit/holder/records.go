package holder

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
)

const (
	// defaultRecords bounds the debits remembered, a minute and a half at 1,400 debits a second. A record takes about
	// 250 bytes with its index entry.
	defaultRecords = 1 << 17
	// recordAge is longer than any request runs; a refund that comes later credits nothing.
	recordAge = 10 * time.Minute
)

// record is one debit, or a refund that came before its debit.
type record struct {
	id string
	// share is where the tokens came from.
	share *share
	mark  bucket.DebitID
	// taken is in tokens.
	taken int64
	// credited is in tokens.
	credited int64
	refunded bool
	at       time.Time
}

// records finds the debits of all shares by request id. It is bounded in number and age; the oldest are dropped first.
type records struct {
	byID  map[string]*record
	queue []*record
}

func (r *records) find(id string) *record {
	return r.byID[id]
}

// add stores a record, and drops old ones to keep the number at or below the limit.
func (r *records) add(entry *record, limit int) {
	if r.byID == nil {
		r.byID = map[string]*record{}
	}

	for len(r.queue) > 0 && (len(r.queue) >= limit || entry.at.Sub(r.queue[0].at) > recordAge) {
		r.drop(r.queue[0])
		r.queue = r.queue[1:]
	}

	r.queue = append(r.queue, entry)
	r.byID[entry.id] = entry
}

func (r *records) drop(old *record) {
	delete(r.byID, old.id)

	if !old.refunded {
		old.share.bucket.CloseDebit(old.mark)
	}
}
