package holder

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
)

const (
	// defaultMaxRecords covers a minute and a half at 1,400 debits a second. A record takes about 250 bytes with its index
	// entry.
	defaultMaxRecords = 1 << 17
	// maxRecordAge is longer than any request runs. A refund after it credits nothing.
	maxRecordAge = 10 * time.Minute
)

// record is a debit, or a refund that arrived before its debit.
type record struct {
	id string
	// share is the share that was debited.
	share   *share
	debitID bucket.DebitID
	// taken is in tokens.
	taken int64
	// credited is in tokens.
	credited int64
	refunded bool
	at       time.Time
}

// records indexes the debits of all shares by request id. Number and age are bounded; the oldest are evicted first.
type records struct {
	byID  map[string]*record
	queue []*record
}

// find returns the record of a request id, or nil.
func (r *records) find(id string) *record {
	return r.byID[id]
}

// add stores a record and evicts the oldest ones to keep the number at or below the limit.
func (r *records) add(added *record, limit int) {
	if r.byID == nil {
		r.byID = map[string]*record{}
	}

	for len(r.queue) > 0 && (len(r.queue) >= limit || added.at.Sub(r.queue[0].at) > maxRecordAge) {
		r.evict(r.queue[0])
		r.queue = r.queue[1:]
	}

	r.queue = append(r.queue, added)
	r.byID[added.id] = added
}

// evict removes a record from the index and closes its debit.
func (r *records) evict(old *record) {
	delete(r.byID, old.id)

	if !old.refunded {
		old.share.bucket.CloseDebit(old.debitID)
	}
}
