package ledger

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// refundTries bounds how often a refund is sent; a refund that is lost loses tokens and creates none.
	refundTries = 3
	// refundPause is the time before the first repeated refund; it doubles.
	refundPause = 500 * time.Millisecond
)

func (l *Ledger) refund(to board.Holder, request *rpc.RefundRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), holder.MaxAdmissionDelay)
	defer cancel()

	_, err := rpc.NewDRPCLimitClient(l.Pool.Get(to.Address)).Refund(ctx, request)

	return err
}

func (l *Ledger) isLocal(to board.Holder) bool {
	return l.Local != nil && l.Local.Boot == to.Boot
}

// giveBack refunds part of a debit at one holder, repeating a bounded number of times.
func (l *Ledger) giveBack(account string, from part, amount int64) {
	request := &rpc.RefundRequest{RequestId: from.id, Account: account, Amount: amount}

	if l.isLocal(from.holder) {
		_, _ = l.Local.Refund(context.Background(), request)
		return
	}

	l.returns.Go(func() {
		pause := refundPause

		for try := 1; ; try++ {
			if l.refund(from.holder, request) == nil || try == refundTries {
				return
			}

			time.Sleep(pause)
			pause *= 2
		}
	})
}
