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

// maxCalls bounds the calls of one debit, also when the assignment changes meanwhile.
const maxCalls = 8

// attempt is one debit at one or several holders. Only the goroutine that runs collect uses it.
type attempt struct {
	ledger  *Ledger
	account string
	// amount and taken are in tokens.
	amount int64
	taken  int64
	limits terms.Limits
	id     string
	start  time.Time
	parts  []part
	// answers holds what the holders that answered had.
	answers []answer
	// asked holds the boot ids of the holders that were asked.
	asked []string
	// open holds the remote calls without a reply, by request id.
	open map[string]call
	// replies receives the replies of remote calls; it has room for all of them.
	replies chan reply
	// moved says that a process was asked that no longer holds a share, so that a newer assignment must exist.
	moved bool
}

// answer is the state of a holder before the debit.
type answer struct {
	// level and size are in tokens, rate in tokens per second.
	level float64
	size  float64
	rate  float64
}

// call is one request to one holder.
type call struct {
	from    candidate
	request *rpc.DebitRequest
}

type reply struct {
	call   call
	answer *rpc.DebitReply
	err    error
}

// collect asks one holder after the other until the amount is complete, every holder was asked, or the time is over.
// A holder that takes too long does not keep the others from being asked, and its reply still counts in time.
func (a *attempt) collect(ctx context.Context) {
	for a.taken < a.amount && ctx.Err() == nil && !a.late() {
		changed, assignment := a.assignment()
		waiting := a.ledger.candidates(assignment, a.limits, a.asked)

		next, ok := fullest(waiting)
		if ok && len(a.asked) < maxCalls && (next.fill >= 0 || len(a.answers) == 0) {
			a.ask(ctx, assignment, next, len(waiting))
			continue
		}

		if len(a.open) == 0 && !a.moved && len(assignment.Holders) > 0 {
			break
		}

		if !a.await(ctx, changed) {
			break
		}
	}

	a.giveUp()
}

// assignment returns the account's assignment and, if it may be outdated, a channel that is closed when it changes.
func (a *attempt) assignment() (<-chan struct{}, board.Assignment) {
	shares := &a.ledger.Board.Shares
	assignment := shares.Value()[a.account]

	if !a.moved && len(assignment.Holders) > 0 {
		return nil, assignment
	}

	changed := shares.Changed()

	return changed, shares.Value()[a.account]
}

// await waits for a reply or a newer assignment; it reports false when the time is over.
func (a *attempt) await(ctx context.Context, changed <-chan struct{}) bool {
	if changed != nil && a.ledger.OnStale != nil {
		a.ledger.OnStale(a.account)
	}

	over := time.NewTimer(a.remaining())
	defer over.Stop()

	select {
	case got := <-a.replies:
		a.receive(got)
		return true
	case <-changed:
		a.moved = false
		return true
	case <-over.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func fullest(waiting []candidate) (best candidate, ok bool) {
	for i, next := range waiting {
		if i == 0 || next.fill > best.fill {
			best = next
		}
	}

	return best, len(waiting) > 0
}

// ask debits one holder. With others left to ask, it waits only for its part of the remaining time.
func (a *attempt) ask(ctx context.Context, assignment board.Assignment, from candidate, left int) {
	a.asked = append(a.asked, from.holder.Boot)

	missing := a.amount - a.taken
	next := call{from: from, request: &rpc.DebitRequest{
		RequestId: a.id + "/" + strconv.Itoa(len(a.asked)),
		Account:   a.account,
		Amount:    missing,
		Epoch:     assignment.Epoch,
	}}

	a.ledger.expect(a.account, from.holder.Boot, missing)

	if a.ledger.isLocal(from.holder) {
		answer, err := a.ledger.Local.Debit(ctx, next.request)
		a.receive(reply{call: next, answer: answer, err: err})

		return
	}

	a.send(next)

	step := time.NewTimer(a.remaining() / time.Duration(left))
	defer step.Stop()

	select {
	case got := <-a.replies:
		a.receive(got)
	case <-step.C:
		a.ledger.unanswered(a.account, from.holder.Boot)
	case <-ctx.Done():
	}
}

// send starts a remote call that ends when the time is over.
func (a *attempt) send(next call) {
	if a.open == nil {
		a.open = map[string]call{}
		a.replies = make(chan reply, maxCalls)
	}

	a.open[next.request.RequestId] = next
	replies := a.replies
	deadline := a.start.Add(holder.MaxAdmissionDelay)

	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()

		answer, err := rpc.NewDRPCLimitClient(a.ledger.Pool.Get(next.from.holder.Address)).Debit(ctx, next.request)
		replies <- reply{call: next, answer: answer, err: err}
	}()
}

// receive counts a reply that comes in time.
func (a *attempt) receive(got reply) {
	from := got.call.from
	request := got.call.request
	late := a.late()
	delete(a.open, request.RequestId)

	if got.err != nil && !late {
		a.ledger.unanswered(a.account, from.holder.Boot)
	}

	// A debit may have been made although its reply is an error.
	if got.err != nil || late {
		a.ledger.giveBack(a.account, part{holder: from.holder, id: request.RequestId}, request.Amount)
		return
	}

	if got.answer.Status != rpc.DebitStatus_DEBIT_TAKEN {
		a.moved = true
		return
	}

	taken := min(max(got.answer.Taken, 0), request.Amount)
	a.ledger.answered(a.account, from.holder.Boot, got.answer.Level, got.answer.Cap)
	a.answers = append(a.answers, answer{
		level: float64(got.answer.Level + taken),
		size:  float64(got.answer.Cap),
		rate:  from.rate,
	})

	a.keep(part{holder: from.holder, id: request.RequestId, taken: taken})
}

// keep adds a part. A reply that comes after other holders were asked can bring more than is missing; the surplus is
// returned at once, and because a debit is refunded once, the rest of that part is not refunded later.
func (a *attempt) keep(got part) {
	if got.taken == 0 {
		return
	}

	if surplus := a.taken + got.taken - a.amount; surplus > 0 {
		a.ledger.giveBack(a.account, got, surplus)
		got.taken -= surplus
		got.final = true
	}

	a.taken += got.taken
	a.parts = append(a.parts, got)
}

// giveUp refunds the calls without a reply.
func (a *attempt) giveUp() {
	for id, one := range a.open {
		a.ledger.giveBack(a.account, part{holder: one.from.holder, id: id}, one.request.Amount)
	}
}

// remaining returns the time in which replies still count.
func (a *attempt) remaining() time.Duration {
	return max(time.Until(a.start.Add(holder.MaxAdmissionDelay)), 0)
}

// late reports whether the time in which a debit counts is over.
func (a *attempt) late() bool {
	return time.Since(a.start) > holder.MaxAdmissionDelay
}

// abandon gives back what was taken.
func (a *attempt) abandon() {
	for _, one := range a.parts {
		if !one.final {
			a.ledger.giveBack(a.account, one, one.taken)
		}
	}
}

func (a *attempt) refusal(ctx context.Context) error {
	if len(a.answers) == 0 {
		if err := ctx.Err(); err != nil {
			return fault.Of(err)
		}

		return fault.New(fault.LimitUnavailable, "no holder of account %s answers", a.account)
	}

	wait := a.wait()

	return fault.New(fault.RateLimited, "account %s has used its rate and burst", a.account).WithRetry(wait)
}

// waitStep is the precision of the time to come back.
const waitStep = 10 * time.Millisecond

// wait returns the time after which the holders that answered will have the amount together. When they alone can
// never have it, it returns the time after which they are full.
func (a *attempt) wait() time.Duration {
	low := time.Duration(0)
	high := a.full()

	for high-low > waitStep {
		middle := (low + high) / 2
		if a.available(middle) >= float64(a.amount) {
			high = middle
		} else {
			low = middle
		}
	}

	return high + holder.MaxAdmissionDelay + waitStep
}

// full returns the time after which every holder that answered is full.
func (a *attempt) full() time.Duration {
	longest := time.Duration(0)

	for _, one := range a.answers {
		if one.rate > 0 {
			longest = max(longest, time.Duration((one.size-one.level)/one.rate*float64(time.Second)))
		}
	}

	return longest
}

// available returns the tokens that the holders will have; each gives whole tokens only.
func (a *attempt) available(after time.Duration) float64 {
	sum := 0.0
	for _, one := range a.answers {
		sum += math.Floor(min(one.size, one.level+one.rate*after.Seconds()))
	}

	return sum
}
