package holder

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// share is this process's part of one account.
type share struct {
	bucket *bucket.DelayedRefill
	// since is the epoch at which this process became a holder of the share.
	since int64
	// epoch is that of the newest assignment applied; it never decreases.
	epoch int64
	// part is the range that the bucket is set to.
	part terms.Range
	// goal is the range of the assignment; part follows it, with a delay when it grows.
	goal terms.Range
	// grow is the time from which part may grow to goal.
	grow time.Time
	// sharesVersion and documentVersion are the board versions that were applied.
	sharesVersion   int64
	documentVersion int64
}

// ReduceShare reduces this process's share to a smaller range before the rest is given to another process by a row with a
// higher epoch. It reports whether this process holds the share at that epoch; the reduction lasts until the epoch
// has passed, because the answer to the write of the row may be lost.
func (h *Holder) ReduceShare(account string, epoch int64, to terms.Range) bool {
	now := time.Now()

	h.mu.Lock()
	defer h.mu.Unlock()

	held, _ := h.current(account, now)
	if held == nil || held.epoch != epoch || !to.Within(held.goal) {
		return false
	}

	held.goal = to
	held.part = narrow(held.part, to)
	h.apply(account, held, now)

	return true
}

// current returns this process's share of the account, brought up to date from the board, or nil, and the epoch.
func (h *Holder) current(account string, now time.Time) (held *share, epoch int64) {
	assignments, version := h.Board.Shares.Get()

	held = h.shares[account]
	if held == nil || held.sharesVersion != version {
		held = h.assign(account, held, assignments[account], now)
	}

	if held == nil || h.stopped {
		return nil, assignments[account].Epoch
	}

	held.sharesVersion = version

	if _, version := h.Board.Document.Get(); version != held.documentVersion {
		held.documentVersion = version
		h.apply(account, held, now)
	}

	if held.part != held.goal && !now.Before(held.grow) {
		held.part = held.goal
		h.apply(account, held, now)
	}

	return held, held.epoch
}

// assign applies an assignment of the account to this process's share of it.
func (h *Holder) assign(account string, held *share, assignment board.Assignment, now time.Time) *share {
	if held != nil && assignment.Epoch <= held.epoch {
		return held
	}

	index := slices.IndexFunc(assignment.Holders, func(holder board.Holder) bool { return holder.Boot == h.Boot })
	if index < 0 {
		delete(h.shares, account)
		return nil
	}

	part := terms.RangeOf(assignment, index)

	if held == nil || held.since != assignment.Holders[index].Since {
		return h.start(account, assignment, index, now)
	}

	held.epoch = assignment.Epoch
	held.goal = part
	held.part = narrow(held.part, part)
	held.grow = now.Add(MaxAdmissionDelay)
	h.apply(account, held, now)

	return held
}

// start begins a share. It returns nil until the document is known or when the share was begun before.
func (h *Holder) start(account string, assignment board.Assignment, index int, now time.Time) *share {
	holder := assignment.Holders[index]
	limits, _ := terms.LimitsOf(h.Board.Document.Value(), account)
	_, documentVersion := h.Board.Document.Get()

	if h.stopped || documentVersion == 0 || holder.Since <= h.started[account] {
		delete(h.shares, account)
		return nil
	}

	part := terms.RangeOf(assignment, index)
	rate, size := limits.ForRange(part)
	started := &share{
		bucket:          bucket.NewDelayedRefill(now, MaxAdmissionDelay, rate, size),
		since:           holder.Since,
		epoch:           assignment.Epoch,
		part:            part,
		goal:            part,
		documentVersion: documentVersion,
	}

	if !holder.Full || holder.Since != assignment.Epoch {
		started.bucket.Empty(now)
	}

	if h.shares == nil {
		h.shares = map[string]*share{}
		h.started = map[string]int64{}
	}

	h.shares[account] = started
	h.started[account] = holder.Since

	return started
}

// apply sets the bucket to its range of the account's current terms; an account without terms gets nothing.
func (h *Holder) apply(account string, held *share, now time.Time) {
	invariant.Check(held.part.Within(terms.Range{End: terms.TotalShare}), "share-range", "share of %s is %v", account, held.part)

	limits, _ := terms.LimitsOf(h.Board.Document.Value(), account)
	rate, size := limits.ForRange(held.part)
	held.bucket.SetLimits(now, rate, size)
}

// debit takes up to the amount of whole tokens. A debit that took nothing is not remembered: its repetition may take
// what has come in since, which the requester counts once.
func (h *Holder) debit(held *share, now time.Time, id string, amount int64) int64 {
	if known := h.records.find(id); known != nil {
		return known.taken
	}

	available := held.bucket.Level(now) / bucket.UnitsPerToken

	mark, taken := held.bucket.Debit(now, units(min(amount, available)))
	if taken == 0 {
		return 0
	}

	entry := &record{id: id, share: held, mark: mark, taken: taken / bucket.UnitsPerToken, at: now}
	h.records.add(entry, h.limit())

	return entry.taken
}

func (h *Holder) limit() int {
	if h.MaxRecords > 0 {
		return h.MaxRecords
	}

	return defaultRecords
}

func (h *Holder) refund(held *share, now time.Time, id string, amount int64) int64 {
	known := h.records.find(id)
	if known == nil {
		// The refund of a debit that the requester gave up on can overtake it; the debit must then take nothing.
		h.records.add(&record{id: id, share: held, refunded: true, at: now}, h.limit())
		return 0
	}

	if !known.refunded {
		known.refunded = true
		known.credited = known.share.bucket.Refund(now, known.mark, units(min(amount, known.taken))) / bucket.UnitsPerToken
	}

	return known.credited
}

// narrow returns the part of a range that lies in another one.
func narrow(part, within terms.Range) terms.Range {
	start := max(part.Start, within.Start)

	return terms.Range{Start: start, End: max(start, min(part.End, within.End))}
}

// units converts tokens to bucket units; amounts beyond the range are more than any cap.
func units(tokens int64) int64 {
	if tokens > math.MaxInt64/bucket.UnitsPerToken {
		return math.MaxInt64
	}

	return max(tokens, 0) * bucket.UnitsPerToken
}
