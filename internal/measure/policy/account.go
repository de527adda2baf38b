package policy

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/baseline"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/ledger"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
)

const (
	// roundTrip is the time from a debit to its reply at a holder in another failure domain.
	roundTrip = 2500 * time.Microsecond
	// initialBackoff and maxBackoff bound the time for which a holder that did not reply is tried last, as in limit/ledger.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// notAHolder is the index of a requester that is not a holder.
	notAHolder = -1
)

// tokenBucket is the bucket of one holder for its share of an account.
type tokenBucket interface {
	Level(now time.Time) int64
	Capacity() int64
	Debit(now time.Time, amount int64) (bucket.DebitID, int64)
	Refund(now time.Time, id bucket.DebitID, amount int64) int64
}

// plainBucket is a bucket that credits refunds without regard to the level since the debit.
type plainBucket struct {
	rate, capacity, level int64
	at                    time.Time
}

// Level implements purse.
func (p *plainBucket) Level(now time.Time) int64 {
	p.level = min(p.capacity, p.level+bucket.Refill(p.rate, now.Sub(p.at)))
	p.at = now

	return p.level
}

// Capacity implements purse.
func (p *plainBucket) Capacity() int64 { return p.capacity }

// Debit implements purse.
func (p *plainBucket) Debit(now time.Time, amount int64) (bucket.DebitID, int64) {
	taken := min(amount, p.Level(now))
	p.level -= taken

	return 0, taken
}

// Refund implements purse.
func (p *plainBucket) Refund(now time.Time, _ bucket.DebitID, amount int64) int64 {
	credited := min(amount, p.capacity-p.Level(now))
	p.level += credited

	return credited
}

// account is one account with its holders; holder i is entry i.
type account struct {
	loop          *loop
	policy        Policy
	accountLimits terms.Limits
	holders       [entries]holderShare
	// estimates holds the estimates of each requester for each holder.
	estimates map[int]*[entries]estimate
	static    *baseline.StaticSplit
	// refillWaiters counts the debits of each requester that wait for refill.
	refillWaiters map[int]int
}

type holderShare struct {
	tokens tokenBucket
	// lost is true if the holder does not reply, and boot counts the processes that have held the share.
	lost bool
	boot int
}

type estimate struct {
	level    float64
	capacity float64
	at       time.Time
	failures int
	failedAt time.Time
}

// charge is the result of a successful debit.
type charge struct {
	parts       []partialDebit
	staticDebit bucket.DebitID
	entry       int
	// responses is the number of holders that replied.
	responses int
}

type partialDebit struct {
	holder int
	boot   int
	id     bucket.DebitID
	taken  int64
}

func newAccount(l *loop, policy Policy, limits terms.Limits) *account {
	created := &account{loop: l, policy: policy, accountLimits: limits, estimates: map[int]*[entries]estimate{}, refillWaiters: map[int]int{}}

	if policy.StaticSplit {
		created.static = baseline.NewStaticSplit(l.now, limits, entries)
	}

	for i := range created.holders {
		created.holders[i].tokens = created.newBucket(i)
	}

	return created
}

func (a *account) shareLimits(i int) (rate, capacity int64) {
	return a.accountLimits.ForRange(terms.Range{Start: int64(i) * terms.TotalShare / entries, End: int64(i+1) * terms.TotalShare / entries})
}

func (a *account) newBucket(i int) tokenBucket {
	rate, capacity := a.shareLimits(i)
	if a.policy.Refund == RefundPlain {
		return &plainBucket{rate: rate, capacity: capacity, level: capacity, at: a.loop.now}
	}

	return bucket.NewDelayedRefill(a.loop.now, holder.MaxAdmissionDelay, rate, capacity)
}

// loseHolder makes a holder unreachable.
func (a *account) loseHolder(i int) {
	a.holders[i].lost = true
}

// replaceHolder gives the share of a lost holder to a new process with an empty bucket.
func (a *account) replaceHolder(i int) {
	replacement := a.newBucket(i)
	replacement.Debit(a.loop.now, replacement.Capacity())
	a.holders[i] = holderShare{tokens: replacement, boot: a.holders[i].boot + 1}

	for _, byHolder := range a.estimates {
		byHolder[i] = estimate{}
	}
}

// debit takes the whole amount of tokens and passes the charge to done. Otherwise it takes nothing and passes nil.
func (a *account) debit(from int, amount int64, done func(charged *charge)) {
	if a.static != nil {
		id, ok := a.static.Debit(a.loop.now, from, amount)
		if !ok {
			done(nil)
			return
		}

		done(&charge{staticDebit: id, entry: from})

		return
	}

	a.debitWithWait(from, amount*bucket.UnitsPerToken, ledger.MaxRefillWait, done)
}

// debitNext debits the next holder for the missing amount, in units, until nothing is missing.
func (a *account) debitNext(from int, missing int64, asked [entries]bool, charged *charge, done func(charged *charge)) {
	if missing <= 0 {
		done(charged)
		return
	}

	// A holder that recently did not reply is tried only if no other one replies.
	i, left := a.nextHolder(from, asked)
	if i < 0 || charged.responses > 0 && a.expectedFill(from, i) < 0 {
		a.refund(charged, 0)
		done(nil)

		return
	}

	asked[i] = true
	known := &a.estimatesOf(from)[i]
	known.level = max(known.level-float64(missing), 0)

	if a.holders[i].lost {
		a.loop.after(holder.MaxAdmissionDelay/time.Duration(left), func() {
			known.failures++
			known.failedAt = a.loop.now
			a.debitNext(from, missing, asked, charged, done)
		})

		return
	}

	debitResponding := func() {
		missing -= a.debitHolder(from, i, missing, charged)
		a.debitNext(from, missing, asked, charged, done)
	}

	if i == from {
		debitResponding()
		return
	}

	a.loop.after(roundTrip, debitResponding)
}

// debitHolder debits a holder that replies. It takes only whole tokens, as a holder does.
func (a *account) debitHolder(from, i int, missing int64, charged *charge) int64 {
	charged.responses++
	share := a.holders[i]
	wholeTokens := share.tokens.Level(a.loop.now) / bucket.UnitsPerToken * bucket.UnitsPerToken
	id, taken := share.tokens.Debit(a.loop.now, min(missing, wholeTokens))

	if taken > 0 {
		charged.parts = append(charged.parts, partialDebit{holder: i, boot: share.boot, id: id, taken: taken})
	}

	a.estimatesOf(from)[i] = estimate{
		level:    float64(share.tokens.Level(a.loop.now)),
		capacity: float64(share.tokens.Capacity()),
		at:       a.loop.now,
	}

	return taken
}

// nextHolder returns the holder with the highest expected fill, or -1, and the number of holders that were not asked yet.
func (a *account) nextHolder(from int, asked [entries]bool) (best, left int) {
	best = -1

	var bestFill float64

	for step := range entries {
		i := (max(from, 0) + step) % entries
		if asked[i] {
			continue
		}

		left++

		fill := a.expectedFill(from, i)
		if best < 0 || fill > bestFill {
			best, bestFill = i, fill
		}
	}

	return best, left
}

// expectedFill returns the level that the requester expects, divided by the capacity; -1 for a holder in backoff. With
// FixedHolderOrder it is 0 for all other holders.
func (a *account) expectedFill(from, i int) float64 {
	known := a.estimatesOf(from)[i]
	now := a.loop.now

	switch {
	case known.failures > 0 && now.Sub(known.failedAt) < min(initialBackoff<<min(known.failures-1, 8), maxBackoff):
		return -1
	case a.policy.FixedHolderOrder:
		return 0
	case known.capacity == 0:
		// A holder that has not replied yet ranks above those that are less than half full, as in limit/ledger.
		return 0.5
	}

	rate, _ := a.shareLimits(i)

	return min(known.capacity, known.level+float64(rate)*now.Sub(known.at).Seconds()) / known.capacity
}

func (a *account) estimatesOf(from int) *[entries]estimate {
	if a.estimates[from] == nil {
		a.estimates[from] = &[entries]estimate{}
	}

	return a.estimates[from]
}

// refund returns the units that a request did not use to the holders; spent is in tokens.
func (a *account) refund(charged *charge, spent int64) {
	if a.policy.Refund == RefundNone && spent > 0 {
		return
	}

	var total int64
	for _, one := range charged.parts {
		total += one.taken
	}

	unused := total - spent*bucket.UnitsPerToken

	for n := len(charged.parts) - 1; n >= 0; n-- {
		one := charged.parts[n]
		amount := min(unused, one.taken)
		unused -= amount

		if share := a.holders[one.holder]; !share.lost && share.boot == one.boot {
			share.tokens.Refund(a.loop.now, one.id, amount)
		}
	}
}

// refundUnused refunds the unused part of the charge of a completed request; cost and spent are in tokens.
func (a *account) refundUnused(charged *charge, cost, spent int64) {
	if a.static == nil {
		a.refund(charged, spent)
		return
	}

	if a.policy.Refund != RefundNone {
		a.static.Refund(a.loop.now, charged.entry, charged.staticDebit, cost-spent)
	}
}
