package quota

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/peak"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
)

const (
	// prefetchTime is the time of demand for which tokens are taken in advance, so that most requests wait for no grant.
	prefetchTime = 250 * time.Millisecond
	// grantLifetime is how long granted tokens may be used; older ones are discarded, so that a process that was paused does
	// not use them in a later window.
	grantLifetime = time.Second
	// reserveShare is the fraction of an entry's equal share that it uses while it cannot reach the holder. The holder grants
	// that much less for each entry that is not connected to it.
	reserveShare = 0.5
	// reserveWindow is the time for which unused tokens of the reserve accumulate.
	reserveWindow = time.Second
	// demandWindow is the window over which the demand is measured.
	demandWindow = time.Second
	// maxWait is how long a request waits for tokens, and pollInterval the time between two attempts. An account well within
	// its rate lacks tokens only briefly, for example after a restart of the holder.
	maxWait      = 100 * time.Millisecond
	pollInterval = 20 * time.Millisecond
	// maxWaiting is the number of requests of an account that may wait at an entry; further ones are refused at once.
	maxWaiting = 2
	// minRetry and maxRetry bound the retry delay of a refused request.
	minRetry = 200 * time.Millisecond
	maxRetry = 2 * time.Second
	// peakRetention is how long the number of entries is remembered at least. Entries that are cut off from the holder are set aside for
	// this long.
	peakRetention = 30 * time.Second
	// holderRetryDelay is how long no tokens are requested from a holder after a failure.
	holderRetryDelay = 300 * time.Millisecond
)

// Granter requests tokens from the holder of an account.
type Granter interface {
	// Grant returns up to the wanted tokens; false if the holder cannot be reached.
	Grant(ctx context.Context, account string, wanted float64) (float64, bool)
}

// Limiter limits the requests of client accounts at one entry. Its exported fields are set before use.
type Limiter struct {
	Granter Granter
	// Entries returns the number of entries that share the accounts; 0 if it is not known.
	Entries func() int

	mu       sync.Mutex
	accounts map[string]*account
	// entries is the peak of Entries, which falls when this entry loses connections.
	entries peak.Peak
}

type account struct {
	// refillLock is held while tokens are requested, so that one call serves all waiting requests.
	refillLock sync.Mutex
	balance    float64
	grantedAt  time.Time
	// demand and lastDemand are the tokens that requests needed in the current and the previous demandWindow.
	demand, lastDemand float64
	// windowStart is the start of the current demandWindow.
	windowStart time.Time
	// reserve is the bucket that is used while the holder cannot be reached.
	reserve *bucket.Bucket
	// rate, burst and entries are those for which the limits of reserve were set.
	rate, burst float64
	entries     int
	// retryHolderAt is the time before which no tokens are requested from the holder.
	retryHolderAt time.Time
	// waiting is the number of requests that wait for tokens.
	waiting int
}

// Take takes the tokens for the cost of a request, or returns an error with a retry delay.
func (l *Limiter) Take(ctx context.Context, name string, rate, burst, cost float64) *fault.Error {
	if rate <= 0 {
		return nil
	}

	found := l.account(name, rate, burst)

	if l.pay(found, cost, true) {
		return nil
	}

	for waited := time.Duration(0); ; waited += pollInterval {
		if l.payOrRefill(ctx, name, found, cost) {
			return nil
		}

		if waited >= maxWait || !l.wait(ctx, found) {
			return rateLimited(rate, cost)
		}
	}
}

// payOrRefill pays the cost, and requests tokens from the holder if the balance is too low.
func (l *Limiter) payOrRefill(ctx context.Context, name string, found *account, cost float64) bool {
	found.refillLock.Lock()
	defer found.refillLock.Unlock()

	return l.pay(found, cost, false) || l.refill(ctx, name, found, cost) && l.pay(found, cost, false)
}

// wait waits for pollInterval while the bucket refills; false if too many requests wait already or the client has
// disconnected.
func (l *Limiter) wait(ctx context.Context, found *account) bool {
	l.mu.Lock()
	allowed := found.waiting < maxWaiting

	if allowed {
		found.waiting++
	}
	l.mu.Unlock()

	if !allowed {
		return false
	}

	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()

		found.waiting--
	}()

	select {
	case <-ctx.Done():
		return false
	case <-time.After(pollInterval):
		return true
	}
}

func rateLimited(rate, cost float64) *fault.Error {
	delay := time.Duration(cost / rate * float64(time.Second))

	return fault.New(fault.RateLimited, "the cost of %.0f exceeds the tokens left at a rate of %.0f per second", cost, rate).WithRetryAfter(min(max(delay, minRetry), maxRetry))
}

func (l *Limiter) account(name string, rate, burst float64) *account {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.accounts == nil {
		l.accounts = map[string]*account{}
		l.entries.Retention = peakRetention
	}

	found := l.accounts[name]
	if found == nil {
		found = &account{windowStart: time.Now()}
		l.accounts[name] = found
	}

	now := time.Now()
	found.limitReserve(now, rate, burst, l.entries.Record(now, l.Entries()))

	return found
}

// limitReserve sets the limits of the reserve to those of one of the given number of entries. Without a number there is no reserve.
func (a *account) limitReserve(now time.Time, rate, burst float64, entries int) {
	if a.reserve != nil && a.rate == rate && a.burst == burst && a.entries == entries {
		return
	}

	share := 0.0
	if entries > 0 {
		share = rate * reserveShare / float64(entries)
	}

	capacity := min(burst, share*reserveWindow.Seconds())

	if a.reserve == nil {
		a.reserve = bucket.New(now, toUnits(share), toUnits(capacity), 0)
	} else {
		a.reserve.SetLimits(now, toUnits(share), toUnits(capacity))
	}

	a.rate, a.burst, a.entries = rate, burst, entries
}

// pay takes the cost from the balance and reports whether it was sufficient; with count, the cost is added to the demand.
func (l *Limiter) pay(found *account, cost float64, count bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()

	if now.Sub(found.grantedAt) > grantLifetime {
		found.balance = 0
	}

	if count {
		found.recordDemand(now, cost)
	}

	if found.balance < cost {
		return false
	}

	found.balance -= cost

	return true
}

func (a *account) recordDemand(now time.Time, cost float64) {
	if passed := now.Sub(a.windowStart); passed > demandWindow {
		a.lastDemand = a.demand

		if passed > 2*demandWindow {
			a.lastDemand = 0
		}

		a.demand = 0
		a.windowStart = now
	}

	a.demand += cost
}

// refill adds tokens to the balance and reports whether it added any.
func (l *Limiter) refill(ctx context.Context, name string, found *account, cost float64) bool {
	l.mu.Lock()
	wanted := max(cost-found.balance, 0) + max(found.demand, found.lastDemand)*prefetchTime.Seconds()
	backingOff := time.Now().Before(found.retryHolderAt)
	l.mu.Unlock()

	granted, ok := 0.0, false
	if !backingOff {
		granted, ok = l.Granter.Grant(ctx, name, wanted)
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()

	if !ok {
		if !backingOff {
			found.retryHolderAt = now.Add(holderRetryDelay)
		}

		debitID, taken := found.reserve.Debit(now, toUnits(cost))
		found.reserve.CloseDebit(debitID)
		granted = float64(taken) / bucket.UnitsPerToken
	}

	found.balance += granted
	found.grantedAt = now

	return granted > 0
}
