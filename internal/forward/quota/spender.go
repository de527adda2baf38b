package quota

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
)

const (
	// ahead is the demand for which tokens are taken in advance, so that most requests wait for no grant.
	ahead = 250 * time.Millisecond
	// grantLife is how long taken tokens may be spent; older ones are given up, so that a process that was frozen does
	// not add them to a later window.
	grantLife = time.Second
	// reserveShare is the part of an entry's equal share that it spends without the holder. The others may still get the
	// whole rate from the holder, and the sum has to stay within the tolerated overage of a tenth.
	reserveShare = 0.5
	// reserveTime is the time whose share an entry may save up.
	reserveTime = time.Second
	// demandTime is the time over which the demand is averaged.
	demandTime = time.Second
	// waitLimit is how long a request waits for tokens that the bucket lacks, and waitStep the time between two looks. An
	// account well within its rate lacks tokens only for moments, as after a restart of the holder.
	waitLimit = 100 * time.Millisecond
	waitStep  = 20 * time.Millisecond
	// waiters is the number of requests of an account that may wait at an entry; further ones are refused at once.
	waiters = 2
	// retryMin and retryMax bound the time after which a refused request may come back.
	retryMin = 200 * time.Millisecond
	retryMax = 2 * time.Second
	// holderPause is how long a holder that failed is not asked again.
	holderPause = 300 * time.Millisecond
)

// Granter asks the holder of an account for tokens.
type Granter interface {
	// Grant returns up to the wanted tokens, and false if the holder cannot be reached.
	Grant(ctx context.Context, account string, wanted float64) (float64, bool)
}

// Spender spends the tokens of client accounts at one entry. Its exported fields are set before use.
type Limiter struct {
	Granter Granter
	// Entries returns the number of entries that share the accounts.
	Entries func() int

	mu       sync.Mutex
	accounts map[string]*account
}

type account struct {
	// asking is held while tokens are asked for, so that one call serves all that wait.
	asking  sync.Mutex
	balance float64
	granted time.Time
	// demand is the tokens asked for in the current and the last demandTime.
	demand, last float64
	since        time.Time
	reserve      *bucket.Bucket
	rate         float64
	pause        time.Time
	// waiting counts the requests that wait for tokens.
	waiting int
}

// Spend takes the cost of a request, or returns an error with the time to come back.
func (s *Limiter) Take(ctx context.Context, name string, rate, burst, cost float64) *fault.Error {
	if rate <= 0 {
		return nil
	}

	found := s.account(name, rate, burst)

	if s.pay(found, cost, true) {
		return nil
	}

	for waited := time.Duration(0); ; waited += waitStep {
		if s.ask(ctx, name, found, cost) {
			return nil
		}

		if waited >= waitLimit || !s.wait(ctx, found) {
			return refuse(rate, cost)
		}
	}
}

// ask pays the cost, if needed with tokens that it asks the holder for.
func (s *Limiter) ask(ctx context.Context, name string, found *account, cost float64) bool {
	found.asking.Lock()
	defer found.asking.Unlock()

	return s.pay(found, cost, false) || s.refill(ctx, name, found, cost) && s.pay(found, cost, false)
}

// wait lets the bucket refill for a moment; false says that others wait already or that the client has gone.
func (s *Limiter) wait(ctx context.Context, found *account) bool {
	s.mu.Lock()
	allowed := found.waiting < waiters

	if allowed {
		found.waiting++
	}
	s.mu.Unlock()

	if !allowed {
		return false
	}

	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		found.waiting--
	}()

	select {
	case <-ctx.Done():
		return false
	case <-time.After(waitStep):
		return true
	}
}

func refuse(rate, cost float64) *fault.Error {
	after := time.Duration(cost / rate * float64(time.Second))

	return fault.New(fault.RateLimited, "the cost of %.0f is more than what is left of the rate of %.0f a second", cost, rate).WithRetry(min(max(after, retryMin), retryMax))
}

func (s *Limiter) account(name string, rate, burst float64) *account {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.accounts == nil {
		s.accounts = map[string]*account{}
	}

	found := s.accounts[name]
	if found == nil {
		found = &account{since: time.Now()}
		s.accounts[name] = found
	}

	if found.rate != rate {
		share := rate * reserveShare / float64(max(s.Entries(), 1))
		found.rate = rate
		found.reserve = bucket.New(time.Now(), micro(share), micro(min(burst, share*reserveTime.Seconds())), 0)
	}

	return found
}

func (s *Limiter) pay(found *account, cost float64, count bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()

	if now.Sub(found.granted) > grantLife {
		found.balance = 0
	}

	if count {
		found.count(now, cost)
	}

	if found.balance < cost {
		return false
	}

	found.balance -= cost

	return true
}

func (a *account) count(now time.Time, cost float64) {
	if passed := now.Sub(a.since); passed > demandTime {
		a.last = a.demand

		if passed > 2*demandTime {
			a.last = 0
		}

		a.demand = 0
		a.since = now
	}

	a.demand += cost
}

// refill adds tokens to the balance and reports whether it added any.
func (s *Limiter) refill(ctx context.Context, name string, found *account, cost float64) bool {
	s.mu.Lock()
	wanted := max(cost-found.balance, 0) + max(found.demand, found.last)*ahead.Seconds()
	paused := time.Now().Before(found.pause)
	s.mu.Unlock()

	granted, ok := 0.0, false
	if !paused {
		granted, ok = s.Granter.Grant(ctx, name, wanted)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()

	if !ok {
		if !paused {
			found.pause = now.Add(holderPause)
		}

		mark, taken := found.reserve.Debit(now, micro(cost))
		found.reserve.CloseDebit(mark)
		granted = float64(taken) / bucket.UnitsPerToken
	}

	found.balance += granted
	found.granted = now

	return granted > 0
}
