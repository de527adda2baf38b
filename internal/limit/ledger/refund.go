package ledger

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// maxRefundAttempts bounds how often a refund is sent. A refund that is never delivered loses tokens but creates none.
	maxRefundAttempts = 3
	// initialRefundBackoff is the delay before the first retry of a refund; it doubles with each retry.
	initialRefundBackoff = 500 * time.Millisecond
)

// sendRefund calls Refund at a holder in another process.
func (l *Ledger) sendRefund(to board.Holder, request *rpc.RefundRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), holder.MaxAdmissionDelay)
	defer cancel()

	_, err := rpc.NewDRPCLimitClient(l.Pool.Get(to.Address)).Refund(ctx, request)

	return err
}

// isLocal reports whether the holder is the one of this process.
func (l *Ledger) isLocal(to board.Holder) bool {
	return l.Local != nil && l.Local.Boot == to.Boot
}

// refundPart refunds an amount of a debit at one holder. A refund at another process is sent in the background, in at most
// maxRefundAttempts attempts.
func (l *Ledger) refundPart(account string, from partialDebit, amount int64) {
	request := &rpc.RefundRequest{RequestId: from.id, Account: account, Amount: amount}

	if l.isLocal(from.holder) {
		_, _ = l.Local.Refund(context.Background(), request)
		return
	}

	l.refunds.Go(func() {
		backoff := initialRefundBackoff

		for try := 1; ; try++ {
			if l.sendRefund(from.holder, request) == nil || try == maxRefundAttempts {
				return
			}

			time.Sleep(backoff)
			backoff *= 2
		}
	})
}
