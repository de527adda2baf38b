package ledger

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// attempt is one debit at one or several holders.
type attempt struct {
	ledger  *Ledger
	account string
	// amount and taken are in tokens.
	amount int64
	taken  int64
	limits terms.Terms
	id     string
	start  time.Time
	parts  []part
	// answers holds what the holders that answered had.
	answers []answer
	// asked holds the boot ids of the holders that were asked.
	asked map[string]bool
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

// collect asks holders until the amount is complete, every holder was asked, or the time is over.
func (a *attempt) collect(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, a.start.Add(holder.Lag))
	defer cancel()

	a.asked = map[string]bool{}

	for a.taken < a.amount && ctx.Err() == nil {
		changed := a.ledger.Board.Shares.Changed()
		assignment := a.ledger.Board.Shares.Value()[a.account]

		waiting := a.ledger.candidates(assignment, a.limits, a.asked)
		if next, ok := fullest(waiting); ok && (next.fill >= 0 || len(a.answers) == 0) {
			a.ask(ctx, assignment, next, len(waiting))
			continue
		}

		if !a.moved && len(assignment.Holders) > 0 {
			return
		}

		a.moved = false

		a.refresh(ctx, changed)
	}
}

func (a *attempt) refresh(ctx context.Context, changed <-chan struct{}) {
	if a.ledger.Stale != nil {
		a.ledger.Stale(a.account)
	}

	select {
	case <-ctx.Done():
	case <-changed:
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
	a.asked[from.holder.Boot] = true

	missing := a.amount - a.taken
	request := &rpc.DebitRequest{
		RequestId: fmt.Sprintf("%s/%d", a.id, len(a.asked)),
		Account:   a.account,
		Amount:    missing,
		Epoch:     assignment.Epoch,
	}

	remaining := time.Until(a.start.Add(holder.Lag))

	ctx, cancel := context.WithTimeout(ctx, remaining/time.Duration(left))
	defer cancel()

	a.ledger.expect(a.account, from.holder.Boot, missing)

	reply, err := a.ledger.debit(ctx, from.holder, request)
	if err != nil || a.late() {
		a.ledger.unanswered(a.account, from.holder.Boot)
		a.ledger.giveBack(a.account, part{holder: from.holder, id: request.RequestId, taken: missing}, missing)

		return
	}

	a.count(from, request, reply)
}

func (a *attempt) count(from candidate, request *rpc.DebitRequest, reply *rpc.DebitReply) {
	if reply.Status != rpc.DebitStatus_DEBIT_TAKEN {
		a.moved = true
		return
	}

	taken := min(max(reply.Taken, 0), request.Amount)
	a.ledger.answered(a.account, from.holder.Boot, reply.Level, reply.Cap)
	a.answers = append(a.answers, answer{level: float64(reply.Level + taken), size: float64(reply.Cap), rate: from.rate})

	if taken > 0 {
		a.taken += taken
		a.parts = append(a.parts, part{holder: from.holder, id: request.RequestId, taken: taken})
	}
}

// late reports whether the time in which a debit counts is over.
func (a *attempt) late() bool {
	return time.Since(a.start) > holder.Lag
}

// abandon gives back what was taken.
func (a *attempt) abandon() {
	for _, taken := range a.parts {
		a.ledger.giveBack(a.account, taken, taken.taken)
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

	return high + holder.Lag + waitStep
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
