// Package holder holds this process's shares of client accounts and serves debits and refunds of their tokens.
package holder

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// MaxAdmissionDelay bounds the time from a debit at a holder to the admission of the request at the requester, which gives up after
// it. Refill of debited tokens starts after the lag.
const MaxAdmissionDelay = 250 * time.Millisecond

// Holder serves the Limit service for the shares that the board assigns to this process. It needs no renewal: only a
// newer assignment, ReduceShare or Stop ends a share.
type Holder struct {
	rpc.DRPCLimitUnimplementedServer

	// Board supplies Shares and Document.
	Board *board.Board
	// Boot is the boot id of this process.
	Boot string
	// MaxRecords bounds the debits that are remembered for repetitions and refunds; 0 means 131072.
	MaxRecords int

	mu     sync.Mutex
	shares map[string]*share
	// started holds the newest Since of each account that this process began, so that no share starts full twice.
	started map[string]int64
	stopped bool
	records records
}

// Debit implements the Limit service: it takes what the share has, up to the amount, in whole tokens.
func (h *Holder) Debit(_ context.Context, request *rpc.DebitRequest) (*rpc.DebitReply, error) {
	now := time.Now()

	h.mu.Lock()
	defer h.mu.Unlock()

	held, epoch := h.current(request.Account, now)
	if held == nil {
		return &rpc.DebitReply{RequestId: request.RequestId, Status: rpc.DebitStatus_DEBIT_NOT_HOLDER, Epoch: epoch}, nil
	}

	taken := h.debit(held, now, request.RequestId, request.Amount)

	var wait time.Duration
	if taken < request.Amount {
		wait = held.bucket.WaitTime(now, units(request.Amount-taken))
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

// Refund implements the Limit service: it credits part of an earlier debit with the same request id, once.
func (h *Holder) Refund(_ context.Context, request *rpc.RefundRequest) (*rpc.RefundReply, error) {
	now := time.Now()

	h.mu.Lock()
	defer h.mu.Unlock()

	reply := &rpc.RefundReply{RequestId: request.RequestId}

	if held, _ := h.current(request.Account, now); held != nil {
		reply.Credited = h.refund(held, now, request.RequestId, request.Amount)
	}

	return reply, nil
}

// Level returns level and cap of this process's share in tokens; ok is false if it has none.
func (h *Holder) Level(account string) (level, size int64, ok bool) {
	now := time.Now()

	h.mu.Lock()
	defer h.mu.Unlock()

	held, _ := h.current(account, now)
	if held == nil {
		return 0, 0, false
	}

	return held.bucket.Level(now) / bucket.UnitsPerToken, held.bucket.Capacity() / bucket.UnitsPerToken, true
}

// Stop ends all serving, for good. After its return the shares may be given to other processes.
func (h *Holder) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.stopped = true
}

func milliseconds(wait time.Duration) int64 {
	if wait < 0 {
		return -1
	}

	return int64((wait + time.Millisecond - 1) / time.Millisecond)
}
