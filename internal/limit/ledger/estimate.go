package ledger

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const (
	// initialBackoff is how long a holder is tried last after a call to it has failed.
	initialBackoff = 250 * time.Millisecond
	// maxBackoff bounds the doubling of initialBackoff with each further failure.
	maxBackoff = 4 * time.Second
	// maxEstimates bounds the estimates, because every restarted holder has a new boot id. All are dropped at the maximum; a
	// dropped estimate costs one poor choice of the holder to try first.
	maxEstimates = 1 << 14
	// unknownFillRatio ranks a holder that has not replied yet above holders that are less than half full.
	unknownFillRatio = 0.5
)

// estimateKey identifies a holder of an account.
type estimateKey struct {
	account string
	boot    string
}

// estimate is the state of a holder as estimated from earlier replies and from debits in flight.
type estimate struct {
	// level and capacity are in tokens, as of at.
	level    float64
	capacity float64
	at       time.Time
	// failures counts the failed calls since the last reply.
	failures int
	// failed is the time of the last failure.
	failed time.Time
}

// candidate is a holder that can be tried.
type candidate struct {
	holder board.Holder
	// rate is in tokens per second.
	rate float64
	// fillRatio is the estimated level divided by the capacity; it is negative while the holder is in backoff.
	fillRatio float64
}

// candidates returns the holders of an assignment that were not tried yet, with their estimated fill ratios.
func (l *Ledger) candidates(assignment board.Assignment, limits terms.Limits, tried []string) []candidate {
	now := time.Now()
	found := make([]candidate, 0, len(assignment.Holders))

	l.mu.Lock()
	defer l.mu.Unlock()

	for i, holder := range assignment.Holders {
		if slices.Contains(tried, holder.Boot) {
			continue
		}

		rate, _ := limits.ForRange(terms.RangeOf(assignment, i))
		next := candidate{holder: holder, rate: float64(rate) / bucket.UnitsPerToken}
		next.fillRatio = l.estimates[estimateKey{assignment.Account, holder.Boot}].fillRatio(now, next.rate)
		found = append(found, next)
	}

	return found
}

// fillRatio returns the estimated level divided by the capacity, or -1 while the holder is in backoff.
func (e estimate) fillRatio(now time.Time, rate float64) float64 {
	if e.failures > 0 && now.Sub(e.failed) < min(initialBackoff<<min(e.failures-1, 8), maxBackoff) {
		return -1
	}

	if e.capacity <= 0 {
		return unknownFillRatio
	}

	return min(e.capacity, e.level+rate*now.Sub(e.at).Seconds()) / e.capacity
}

// recordPending lowers a holder's estimated level while a debit is in flight, so that concurrent debits choose different
// holders.
func (l *Ledger) recordPending(account, boot string, amount int64) {
	l.update(account, boot, func(e *estimate) { e.level = max(e.level-float64(amount), 0) })
}

// recordReply replaces the estimate by the level and the capacity in a reply.
func (l *Ledger) recordReply(account, boot string, level, capacity int64) {
	l.update(account, boot, func(e *estimate) {
		*e = estimate{level: float64(level), capacity: float64(capacity), at: time.Now()}
	})
}

// recordFailure counts a call that failed or timed out.
func (l *Ledger) recordFailure(account, boot string) {
	l.update(account, boot, func(e *estimate) {
		e.failures++
		e.failed = time.Now()
	})
}

// update changes the estimate of a holder.
func (l *Ledger) update(account, boot string, change func(e *estimate)) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.estimates == nil || len(l.estimates) >= maxEstimates {
		l.estimates = map[estimateKey]estimate{}
	}

	key := estimateKey{account, boot}
	known := l.estimates[key]
	change(&known)
	l.estimates[key] = known
}
