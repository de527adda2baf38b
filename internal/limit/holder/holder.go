// Package holder manages this process's token shares of client accounts and serves debits and refunds of their tokens.
package holder

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// MaxAdmissionDelay bounds the time from a debit at a holder to the admission of the request at the requester. A requester
// rejects the request after it, and the refill of debited tokens starts only after it.
const MaxAdmissionDelay = 250 * time.Millisecond

// Holder serves the Limit service for the shares that the board assigns to this process. Shares do not expire and need no
// renewal: only a newer assignment, ReduceShare or Stop takes tokens from this process. It is safe for concurrent use.
type Holder struct {
	rpc.DRPCLimitUnimplementedServer

	// Board supplies Shares and Document.
	Board *board.Board
	// Boot is the boot id of this process.
	Boot string
	// MaxRecords bounds the debits that are recorded for repeated requests and refunds; 0 means 131072.
	MaxRecords int

	mu     sync.Mutex
	shares map[string]*share
	// started holds the newest Since of the shares of each account that this process has started, so that no share starts
	// full twice.
	started map[string]int64
	stopped bool
	records records
}

// Debit implements the Limit service: it takes up to the amount from the share, in whole tokens.
func (h *Holder) Debit(_ context.Context, request *rpc.DebitRequest) (*rpc.DebitReply, error) {
	now := time.Now()

	h.mu.Lock()
	defer h.mu.Unlock()

	held, epoch := h.currentShare(request.Account, now)
	if held == nil {
		return &rpc.DebitReply{RequestId: request.RequestId, Status: rpc.DebitStatus_DEBIT_NOT_HOLDER, Epoch: epoch}, nil
	}

	taken := h.debitShare(held, now, request.RequestId, request.Amount)

	var wait time.Duration
	if taken < request.Amount {
		wait = held.bucket.WaitTime(now, toUnits(request.Amount-taken))
	}

	return &rpc.DebitReply{
		RequestId: request.RequestId,
		Status:    rpc.DebitStatus_DEBIT_TAKEN,
		Taken:     taken,
		Level:     held.bucket.Level(now) / bucket.UnitsPerToken,
		Cap:       held.bucket.Capacity() / bucket.UnitsPerToken,
		Epoch:     epoch,
		WaitMs:    milliseconds(wait),
	}, nil
}

// Refund implements the Limit service: it credits part of the debit with the same request id. Each debit is credited once.
func (h *Holder) Refund(_ context.Context, request *rpc.RefundRequest) (*rpc.RefundReply, error) {
	now := time.Now()

	h.mu.Lock()
	defer h.mu.Unlock()

	reply := &rpc.RefundReply{RequestId: request.RequestId}

	if held, _ := h.currentShare(request.Account, now); held != nil {
		reply.Credited = h.refundDebit(held, now, request.RequestId, request.Amount)
	}

	return reply, nil
}

// Level returns the level and the capacity of this process's share in tokens; ok is false if it has none.
func (h *Holder) Level(account string) (level, capacity int64, ok bool) {
	now := time.Now()

	h.mu.Lock()
	defer h.mu.Unlock()

	held, _ := h.currentShare(account, now)
	if held == nil {
		return 0, 0, false
	}

	return held.bucket.Level(now) / bucket.UnitsPerToken, held.bucket.Capacity() / bucket.UnitsPerToken, true
}

// Stop ends all shares permanently. After it returns, the shares may be assigned to other processes.
func (h *Holder) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.stopped = true
}

// milliseconds rounds a wait up to whole milliseconds; every negative wait becomes -1.
func milliseconds(wait time.Duration) int64 {
	if wait < 0 {
		return -1
	}

	return int64((wait + time.Millisecond - 1) / time.Millisecond)
}
