package holder_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	account = "press"
	own     = "boot-own"
)

func newHolder() *holder.Holder {
	b := &board.Board{}
	b.Document.Set(&document.Document{Version: 1, Accounts: map[string]document.Account{account: {Rate: 10, Burst: 1000}}})

	return &holder.Holder{Board: b, Boot: own}
}

func assign(h *holder.Holder, epoch int64, holders ...board.Holder) {
	row := board.Assignment{Account: account, Epoch: epoch, Holders: holders}
	h.Board.Shares.Set(map[string]board.Assignment{account: row})
	h.Refresh()
}

func debit(t *testing.T, h *holder.Holder, id string, amount int64) *rpc.DebitReply {
	t.Helper()

	reply, err := h.Debit(context.Background(), &rpc.DebitRequest{RequestId: id, Account: account, Amount: amount})
	assert.NilError(t, err)

	return reply
}

func refund(t *testing.T, h *holder.Holder, id string, amount int64) int64 {
	t.Helper()

	reply, err := h.Refund(context.Background(), &rpc.RefundRequest{RequestId: id, Account: account, Amount: amount})
	assert.NilError(t, err)

	return reply.Credited
}

// Guards against tokens that are spent twice, because a share starts full although an earlier holder may have spent them.
func TestOnlyTheFirstAssignmentStartsFull(t *testing.T) {
	cases := map[string]struct {
		epoch  int64
		holder board.Holder
		want   int64
	}{
		"first":            {1, board.Holder{Boot: own, Share: 500_000, Since: 1, Full: true}, 500},
		"seen too late":    {2, board.Holder{Boot: own, Share: 500_000, Since: 1, Full: true}, 0},
		"later":            {2, board.Holder{Boot: own, Share: 500_000, Since: 2}, 0},
		"not this process": {1, board.Holder{Boot: "boot-other", Share: 500_000, Since: 1, Full: true}, -1},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHolder()
			assign(h, tc.epoch, tc.holder)

			level, _, ok := h.Level(account)
			if tc.want < 0 {
				assert.Assert(t, !ok)
				return
			}

			assert.Equal(t, level, tc.want)
		})
	}
}

// Guards against a share that starts full a second time when an older version of its row is published again.
func TestShareDoesNotStartTwice(t *testing.T) {
	h := newHolder()
	whole := board.Holder{Boot: own, Share: terms.TotalShare, Since: 1, Full: true}

	assign(h, 1, whole)
	assert.Equal(t, debit(t, h, "a", 1000).Taken, int64(1000))
	assign(h, 2, board.Holder{Boot: "boot-other", Share: terms.TotalShare, Since: 2})
	assert.Equal(t, debit(t, h, "b", 1).Status, rpc.DebitStatus_DEBIT_NOT_HOLDER)
	assign(h, 1, whole)
	assert.Equal(t, debit(t, h, "c", 1).Status, rpc.DebitStatus_DEBIT_NOT_HOLDER)
}

// Guards against tokens that are taken or credited twice when a request is repeated.
func TestRepeatedRequestsCountOnce(t *testing.T) {
	h := newHolder()
	assign(h, 1, board.Holder{Boot: own, Share: terms.TotalShare, Since: 1, Full: true})

	assert.Equal(t, debit(t, h, "a", 600).Taken, int64(600))
	assert.Equal(t, debit(t, h, "a", 600).Taken, int64(600))

	level, _, _ := h.Level(account)
	assert.Assert(t, level >= 400 && level < 500, "level %d", level)

	assert.Equal(t, refund(t, h, "a", 100), int64(100))
	assert.Equal(t, refund(t, h, "a", 100), int64(100))

	level, _, _ = h.Level(account)
	assert.Assert(t, level >= 500 && level < 600, "level %d", level)

	assert.Equal(t, refund(t, h, "early", 50), int64(0))
	assert.Equal(t, debit(t, h, "early", 50).Taken, int64(0), "a debit must take nothing after its refund")
}

// Guards against memory that grows with the debits that are never refunded.
func TestOldestDebitRecordsAreEvicted(t *testing.T) {
	h := newHolder()
	h.MaxRecords = 4
	assign(h, 1, board.Holder{Boot: own, Share: terms.TotalShare, Since: 1, Full: true})

	for i := range 5 {
		debit(t, h, fmt.Sprint(i), 100)
	}

	assert.Equal(t, refund(t, h, "0", 100), int64(0))
	assert.Equal(t, refund(t, h, "4", 100), int64(100))
}

// Guards against two processes that spend the same part of an account. The previous holder must stop spending the part before
// the row is written, and the new holder must start only when the last debits of the previous one have been admitted.
func TestSharesShrinkAtOnceAndGrowAfterTheAdmissionDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder()
		assign(h, 1, board.Holder{Boot: own, Share: terms.TotalShare, Since: 1, Full: true})

		assert.Assert(t, !h.ReduceShare(account, 0, terms.Range{End: 500_000}), "reduced at another epoch")
		assert.Assert(t, h.ReduceShare(account, 1, terms.Range{End: 500_000}))
		assert.Equal(t, debit(t, h, "a", 1000).Taken, int64(500))

		time.Sleep(time.Hour)

		_, capacity, _ := h.Level(account)
		assert.Equal(t, capacity, int64(500), "the reduction must last until a higher epoch is applied")

		assign(h, 2, board.Holder{Boot: own, Share: 800_000, Since: 1}, board.Holder{Boot: "x", Share: 200_000, Since: 2})

		_, capacity, _ = h.Level(account)
		assert.Equal(t, capacity, int64(500))

		time.Sleep(holder.MaxAdmissionDelay)

		level, capacity, _ := h.Level(account)
		assert.Equal(t, capacity, int64(800))
		assert.Equal(t, level, int64(500))
	})
}

// Guards against a process that serves debits after it has started to hand its shares over.
func TestStopEndsServing(t *testing.T) {
	h := newHolder()
	assign(h, 1, board.Holder{Boot: own, Share: terms.TotalShare, Since: 1, Full: true})
	h.Stop()
	assert.Equal(t, debit(t, h, "a", 1).Status, rpc.DebitStatus_DEBIT_NOT_HOLDER)
	assign(h, 2, board.Holder{Boot: own, Share: terms.TotalShare, Since: 2})
	assert.Equal(t, debit(t, h, "b", 1).Status, rpc.DebitStatus_DEBIT_NOT_HOLDER)
}

func BenchmarkDebit(b *testing.B) {
	h := newHolder()
	h.Board.Document.Set(&document.Document{Version: 2, Accounts: map[string]document.Account{account: {Rate: 1e9, Burst: 1e12}}})
	assign(h, 1, board.Holder{Boot: own, Share: terms.TotalShare, Since: 1, Full: true})

	request := &rpc.DebitRequest{Account: account, Amount: 100}
	count := 0

	for b.Loop() {
		count++
		request.RequestId = fmt.Sprint(count)

		if reply, err := h.Debit(context.Background(), request); err != nil || reply.Taken != 100 {
			b.Fatal(reply, err)
		}
	}
}
