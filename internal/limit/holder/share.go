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
	// since is the epoch at which this process became a holder of the account.
	since int64
	// epoch is the epoch of the newest applied assignment; it never decreases.
	epoch int64
	// active is the range from which the limits of the bucket are derived.
	active terms.Range
	// target is the range of the assignment. active shrinks to it at once and grows to it after a delay.
	target terms.Range
	// growAt is the time at which active may grow to target.
	growAt time.Time
	// sharesVersion and documentVersion are the board versions that were applied.
	sharesVersion   int64
	documentVersion int64
}

// ReduceShare reduces this process's share to a smaller range, before a row with a higher epoch assigns the rest to another
// process. It reports false, without a change, if this process does not hold a share with that range at that epoch. The
// reduction lasts until an assignment with a higher epoch is applied, because the reply to the write of the row may be lost.
func (h *Holder) ReduceShare(account string, epoch int64, to terms.Range) bool {
	now := time.Now()

	h.mu.Lock()
	defer h.mu.Unlock()

	held, _ := h.currentShare(account, now)
	if held == nil || held.epoch != epoch || !to.Within(held.target) {
		return false
	}

	held.target = to
	held.active = intersect(held.active, to)
	h.updateLimits(account, held, now)

	return true
}

// currentShare updates this process's share of the account from the board. It returns the share, or nil if this process has
// none, and the epoch of the assignment.
func (h *Holder) currentShare(account string, now time.Time) (held *share, epoch int64) {
	assignments, version := h.Board.Shares.Get()

	held = h.shares[account]
	if held == nil || held.sharesVersion != version {
		held = h.applyAssignment(account, held, assignments[account], now)
	}

	if held == nil || h.stopped {
		return nil, assignments[account].Epoch
	}

	held.sharesVersion = version

	if _, version := h.Board.Document.Get(); version != held.documentVersion {
		held.documentVersion = version
		h.updateLimits(account, held, now)
	}

	if held.active != held.target && !now.Before(held.growAt) {
		held.active = held.target
		h.updateLimits(account, held, now)
	}

	return held, held.epoch
}

// applyAssignment applies an assignment of the account to this process's share of it. It returns the share that results, or
// nil.
func (h *Holder) applyAssignment(account string, held *share, assignment board.Assignment, now time.Time) *share {
	if held != nil && assignment.Epoch <= held.epoch {
		return held
	}

	index := slices.IndexFunc(assignment.Holders, func(holder board.Holder) bool { return holder.Boot == h.Boot })
	if index < 0 {
		delete(h.shares, account)
		return nil
	}

	assigned := terms.RangeOf(assignment, index)

	if held == nil || held.since != assignment.Holders[index].Since {
		return h.startShare(account, assignment, index, now)
	}

	held.epoch = assignment.Epoch
	held.target = assigned
	held.active = intersect(held.active, assigned)
	held.growAt = now.Add(MaxAdmissionDelay)
	h.updateLimits(account, held, now)

	return held
}

// startShare starts a new share. It returns nil if the document is not known yet or the share was started before.
func (h *Holder) startShare(account string, assignment board.Assignment, index int, now time.Time) *share {
	holder := assignment.Holders[index]
	limits, _ := terms.LimitsOf(h.Board.Document.Value(), account)
	_, documentVersion := h.Board.Document.Get()

	if h.stopped || documentVersion == 0 || holder.Since <= h.started[account] {
		delete(h.shares, account)
		return nil
	}

	assigned := terms.RangeOf(assignment, index)
	rate, capacity := limits.ForRange(assigned)
	started := &share{
		bucket:          bucket.NewDelayedRefill(now, MaxAdmissionDelay, rate, capacity),
		since:           holder.Since,
		epoch:           assignment.Epoch,
		active:          assigned,
		target:          assigned,
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

// updateLimits sets the bucket to the account's current limits for the active range. An account that the document lacks gets
// rate and capacity 0.
func (h *Holder) updateLimits(account string, held *share, now time.Time) {
	invariant.Check(held.active.Within(terms.Range{End: terms.TotalShare}), "share-range", "share of %s is %v", account, held.active)

	limits, _ := terms.LimitsOf(h.Board.Document.Value(), account)
	rate, capacity := limits.ForRange(held.active)
	held.bucket.SetLimits(now, rate, capacity)
}

// debitShare takes up to the amount in whole tokens. A debit that took nothing is not recorded: a repeated request may take
// tokens that were refilled since, and the requester counts only one reply.
func (h *Holder) debitShare(held *share, now time.Time, id string, amount int64) int64 {
	if known := h.records.find(id); known != nil {
		return known.taken
	}

	available := held.bucket.Level(now) / bucket.UnitsPerToken

	debitID, taken := held.bucket.Debit(now, toUnits(min(amount, available)))
	if taken == 0 {
		return 0
	}

	added := &record{id: id, share: held, debitID: debitID, taken: taken / bucket.UnitsPerToken, at: now}
	h.records.add(added, h.recordLimit())

	return added.taken
}

// recordLimit returns the maximum number of records.
func (h *Holder) recordLimit() int {
	if h.MaxRecords > 0 {
		return h.MaxRecords
	}

	return defaultMaxRecords
}

// refundDebit credits part of a recorded debit, or blocks a debit that has not arrived yet. It returns the credited tokens.
func (h *Holder) refundDebit(held *share, now time.Time, id string, amount int64) int64 {
	known := h.records.find(id)
	if known == nil {
		// The refund of an abandoned debit can arrive before the debit, which must then take nothing.
		h.records.add(&record{id: id, share: held, refunded: true, at: now}, h.recordLimit())
		return 0
	}

	if !known.refunded {
		known.refunded = true
		known.credited = known.share.bucket.Refund(now, known.debitID, toUnits(min(amount, known.taken))) / bucket.UnitsPerToken
	}

	return known.credited
}

// intersect returns the part of a range that lies within another one.
func intersect(r, within terms.Range) terms.Range {
	start := max(r.Start, within.Start)

	return terms.Range{Start: start, End: max(start, min(r.End, within.End))}
}

// toUnits converts tokens to bucket units. An amount that overflows becomes the largest int64, which exceeds any capacity.
func toUnits(tokens int64) int64 {
	if tokens > math.MaxInt64/bucket.UnitsPerToken {
		return math.MaxInt64
	}

	return max(tokens, 0) * bucket.UnitsPerToken
}
