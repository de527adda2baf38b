package ledger

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// maxCalls bounds the calls of one debit, also when the assignment changes during the debit.
const maxCalls = 8

// attempt collects the tokens of one debit from one or several holders. Only the goroutine that runs collect uses it.
type attempt struct {
	ledger  *Ledger
	account string
	// amount and taken are in tokens.
	amount int64
	taken  int64
	limits terms.Limits
	id     string
	start  time.Time
	parts  []partialDebit
	// states holds the state of each holder that replied.
	states []holderState
	// tried holds the boot ids of the holders that were called.
	tried []string
	// inFlight holds the remote calls without a reply, by request id.
	inFlight map[string]call
	// results receives the results of remote calls; its buffer has room for all of them.
	results chan callResult
	// stale is true if a called process no longer holds a share, so that a newer assignment must exist.
	stale bool
}

// holderState is the state of a holder before the debit.
type holderState struct {
	// level and capacity are in tokens, rate in tokens per second.
	level    float64
	capacity float64
	rate     float64
}

// call is a debit request to one holder.
type call struct {
	from    candidate
	request *rpc.DebitRequest
}

// callResult is a reply or the error of a call.
type callResult struct {
	call  call
	reply *rpc.DebitReply
	err   error
}

// collect debits one holder after the other until it has the amount, every holder was tried, or the attempt expires. A slow
// holder does not block the calls to the others, and its reply still counts until the attempt expires.
func (a *attempt) collect(ctx context.Context) {
	for a.taken < a.amount && ctx.Err() == nil && !a.expired() {
		changed, assignment := a.assignment()
		untried := a.ledger.candidates(assignment, a.limits, a.tried)

		next, ok := highestFill(untried)
		if ok && len(a.tried) < maxCalls && (next.fillRatio >= 0 || len(a.states) == 0) {
			a.debitHolder(ctx, assignment, next, len(untried))
			continue
		}

		if len(a.inFlight) == 0 && !a.stale && len(assignment.Holders) > 0 {
			break
		}

		if !a.awaitResult(ctx, changed) {
			break
		}
	}

	a.refundInFlight()
}

// assignment returns the account's assignment and, if it may be outdated, a channel that is closed when it changes.
func (a *attempt) assignment() (<-chan struct{}, board.Assignment) {
	shares := &a.ledger.Board.Shares
	assignment := shares.Value()[a.account]

	if !a.stale && len(assignment.Holders) > 0 {
		return nil, assignment
	}

	changed := shares.Changed()

	return changed, shares.Value()[a.account]
}

// awaitResult waits for a reply or a newer assignment; it reports false if the attempt expires first.
func (a *attempt) awaitResult(ctx context.Context, changed <-chan struct{}) bool {
	if changed != nil && a.ledger.OnStale != nil {
		a.ledger.OnStale(a.account)
	}

	timeout := time.NewTimer(a.remaining())
	defer timeout.Stop()

	select {
	case got := <-a.results:
		a.receive(got)
		return true
	case <-changed:
		a.stale = false
		return true
	case <-timeout.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// highestFill returns the candidate with the highest fill ratio; ok is false if there is none.
func highestFill(candidates []candidate) (best candidate, ok bool) {
	for i, next := range candidates {
		if i == 0 || next.fillRatio > best.fillRatio {
			best = next
		}
	}

	return best, len(candidates) > 0
}

// debitHolder debits one holder. It waits for the reply of a remote holder only for an equal part of the remaining time, so
// that the other untried holders can be called too.
func (a *attempt) debitHolder(ctx context.Context, assignment board.Assignment, from candidate, untried int) {
	a.tried = append(a.tried, from.holder.Boot)

	missing := a.amount - a.taken
	next := call{from: from, request: &rpc.DebitRequest{
		RequestId: a.id + "/" + strconv.Itoa(len(a.tried)),
		Account:   a.account,
		Amount:    missing,
		Epoch:     assignment.Epoch,
	}}

	a.ledger.recordPending(a.account, from.holder.Boot, missing)

	if a.ledger.isLocal(from.holder) {
		response, err := a.ledger.Local.Debit(ctx, next.request)
		a.receive(callResult{call: next, reply: response, err: err})

		return
	}

	a.send(next)

	timeout := time.NewTimer(a.remaining() / time.Duration(untried))
	defer timeout.Stop()

	select {
	case got := <-a.results:
		a.receive(got)
	case <-timeout.C:
		a.ledger.recordFailure(a.account, from.holder.Boot)
	case <-ctx.Done():
	}
}

// send starts a remote call that ends when the attempt expires.
func (a *attempt) send(next call) {
	if a.inFlight == nil {
		a.inFlight = map[string]call{}
		a.results = make(chan callResult, maxCalls)
	}

	a.inFlight[next.request.RequestId] = next
	results := a.results
	deadline := a.start.Add(holder.MaxAdmissionDelay)

	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()

		response, err := rpc.NewDRPCLimitClient(a.ledger.Pool.Get(next.from.holder.Address)).Debit(ctx, next.request)
		results <- callResult{call: next, reply: response, err: err}
	}()
}

// receive adds the tokens of a reply, or refunds them if the attempt has expired.
func (a *attempt) receive(got callResult) {
	from := got.call.from
	request := got.call.request
	late := a.expired()
	delete(a.inFlight, request.RequestId)

	if got.err != nil && !late {
		a.ledger.recordFailure(a.account, from.holder.Boot)
	}

	// The holder may have executed the debit although the call returned an error.
	if got.err != nil || late {
		a.ledger.refundPart(a.account, partialDebit{holder: from.holder, id: request.RequestId}, request.Amount)
		return
	}

	if got.reply.Status != rpc.DebitStatus_DEBIT_TAKEN {
		a.stale = true
		return
	}

	taken := min(max(got.reply.Taken, 0), request.Amount)
	a.ledger.recordReply(a.account, from.holder.Boot, got.reply.Level, got.reply.Cap)
	a.states = append(a.states, holderState{
		level:    float64(got.reply.Level + taken),
		capacity: float64(got.reply.Cap),
		rate:     from.rate,
	})

	a.addPart(partialDebit{holder: from.holder, id: request.RequestId, taken: taken})
}

// addPart adds a partial debit. A reply that comes after other holders were called can supply more than is missing. The
// surplus is refunded at once, and because a holder refunds a debit only once, the rest of that part is not refunded later.
func (a *attempt) addPart(got partialDebit) {
	if got.taken == 0 {
		return
	}

	if surplus := a.taken + got.taken - a.amount; surplus > 0 {
		a.ledger.refundPart(a.account, got, surplus)
		got.taken -= surplus
		got.refunded = true
	}

	a.taken += got.taken
	a.parts = append(a.parts, got)
}

// refundInFlight refunds the calls without a reply, because the holders may have executed them.
func (a *attempt) refundInFlight() {
	for id, one := range a.inFlight {
		a.ledger.refundPart(a.account, partialDebit{holder: one.from.holder, id: id}, one.request.Amount)
	}
}

// remaining returns the time until the attempt expires.
func (a *attempt) remaining() time.Duration {
	return max(time.Until(a.start.Add(holder.MaxAdmissionDelay)), 0)
}

// expired reports whether the time from debit to admission has exceeded its maximum.
func (a *attempt) expired() bool {
	return time.Since(a.start) > holder.MaxAdmissionDelay
}

// refundParts refunds what was taken.
func (a *attempt) refundParts() {
	for _, one := range a.parts {
		if !one.refunded {
			a.ledger.refundPart(a.account, one, one.taken)
		}
	}
}

// rejection returns the error of a debit that did not get its amount.
func (a *attempt) rejection(ctx context.Context) error {
	if len(a.states) == 0 {
		if err := ctx.Err(); err != nil {
			return fault.FromError(err)
		}

		return fault.New(fault.LimitUnavailable, "no token share holder of account %s replied", a.account)
	}

	wait := a.retryAfter()

	return fault.New(fault.RateLimited, "account %s has exceeded its rate and burst", a.account).WithRetryAfter(wait)
}

// retryAfterPrecision is the precision of the time after which to retry.
const retryAfterPrecision = 10 * time.Millisecond

// retryAfter returns the time after which the holders that replied will have the amount together. If their total capacity
// is below the amount, it returns the time after which they are full.
func (a *attempt) retryAfter() time.Duration {
	low := time.Duration(0)
	high := a.timeUntilFull()

	for high-low > retryAfterPrecision {
		middle := (low + high) / 2
		if a.available(middle) >= float64(a.amount) {
			high = middle
		} else {
			low = middle
		}
	}

	return high + holder.MaxAdmissionDelay + retryAfterPrecision
}

// timeUntilFull returns the time after which every holder that replied is full.
func (a *attempt) timeUntilFull() time.Duration {
	longest := time.Duration(0)

	for _, one := range a.states {
		if one.rate > 0 {
			longest = max(longest, time.Duration((one.capacity-one.level)/one.rate*float64(time.Second)))
		}
	}

	return longest
}

// available returns the tokens that the holders will have after a duration; each supplies whole tokens only.
func (a *attempt) available(after time.Duration) float64 {
	sum := 0.0
	for _, one := range a.states {
		sum += math.Floor(min(one.capacity, one.level+one.rate*after.Seconds()))
	}

	return sum
}
