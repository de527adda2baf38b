package ledger_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/ledger"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const account = "press"

// newLedger returns the ledger of an entry that holds the whole account.
func newLedger(rate float64, burst int64) *ledger.Ledger {
	b := &board.Board{}
	b.Document.Set(&document.Document{Version: 1, Accounts: map[string]document.Account{account: {Rate: rate, Burst: burst}}})

	whole := []board.Holder{{Boot: "boot", Share: terms.TotalShare, Since: 1, Full: true}}
	b.Shares.Set(map[string]board.Assignment{account: {Account: account, Epoch: 1, Holders: whole}})

	return &ledger.Ledger{Board: b, Local: &holder.Holder{Board: b, Boot: "boot"}}
}

// Guards against a charge that is refunded twice, and against a rejected debit with the wrong kind of fault.
func TestDebitAndRefundAtTheLocalHolder(t *testing.T) {
	l := newLedger(1, 1000)

	_, err := l.Debit(context.Background(), account, 1001)
	assert.Assert(t, fault.Is(err, fault.TooLarge), "%v", err)

	_, err = l.Debit(context.Background(), "nobody", 1)
	assert.Assert(t, fault.Is(err, fault.LimitUnavailable), "%v", err)

	charge, err := l.Debit(context.Background(), account, 900)
	assert.NilError(t, err)

	_, err = l.Debit(context.Background(), account, 200)
	assert.Assert(t, fault.Is(err, fault.RateLimited), "%v", err)
	assert.Assert(t, fault.FromError(err).RetryDelay().Seconds() > 90)

	l.Refund(charge, 100)
	l.Refund(charge, 100)

	_, err = l.Debit(context.Background(), account, 250)
	assert.Assert(t, fault.Is(err, fault.RateLimited), "%v", err)

	_, err = l.Debit(context.Background(), account, 200)
	assert.NilError(t, err)
}

func BenchmarkLocalDebit(b *testing.B) {
	l := newLedger(1e9, 1e12)

	for b.Loop() {
		if _, err := l.Debit(context.Background(), account, 100); err != nil {
			b.Fatal(err)
		}
	}
}
