package ledger

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const (
	// firstBackoff is how long a holder that did not answer is asked last.
	firstBackoff = 250 * time.Millisecond
	// maxBackoff bounds the doubling of firstBackoff.
	maxBackoff = 4 * time.Second
	// hintLimit bounds the hints, because boot ids come and go; a lost hint costs one badly chosen order.
	hintLimit = 1 << 14
	// unknownFill ranks a holder that has not answered yet above half-empty ones.
	unknownFill = 0.5
)

type hintKey struct {
	account string
	boot    string
}

// hint is what the ledger believes of a holder from earlier replies.
type hint struct {
	// level and size are in tokens, as of at.
	level float64
	size  float64
	at    time.Time
	// failures counts the calls without an answer since the last answer.
	failures int
	// failed is the time of the last failure.
	failed time.Time
}

// candidate is a holder that can be asked.
type candidate struct {
	holder board.Holder
	// rate is in tokens per second.
	rate float64
	// fill is the level that the ledger expects, divided by the cap; negative for a holder that did not answer.
	fill float64
}

// candidates returns the holders of an assignment that were not asked yet, with their expected fill.
func (l *Ledger) candidates(assignment board.Assignment, limits terms.Limits, asked []string) []candidate {
	now := time.Now()
	found := make([]candidate, 0, len(assignment.Holders))

	l.mu.Lock()
	defer l.mu.Unlock()

	for i, holder := range assignment.Holders {
		if slices.Contains(asked, holder.Boot) {
			continue
		}

		rate, _ := limits.ForRange(terms.RangeOf(assignment, i))
		next := candidate{holder: holder, rate: float64(rate) / bucket.UnitsPerToken}
		next.fill = l.hints[hintKey{assignment.Account, holder.Boot}].fill(now, next.rate)
		found = append(found, next)
	}

	return found
}

func (h hint) fill(now time.Time, rate float64) float64 {
	if h.failures > 0 && now.Sub(h.failed) < min(firstBackoff<<min(h.failures-1, 8), maxBackoff) {
		return -1
	}

	if h.size <= 0 {
		return unknownFill
	}

	return min(h.size, h.level+rate*now.Sub(h.at).Seconds()) / h.size
}

// expect lowers a holder's expected level while a debit is under way, so that concurrent debits spread.
func (l *Ledger) expect(account, boot string, amount int64) {
	l.update(account, boot, func(h *hint) { h.level = max(h.level-float64(amount), 0) })
}

func (l *Ledger) answered(account, boot string, level, size int64) {
	l.update(account, boot, func(h *hint) {
		*h = hint{level: float64(level), size: float64(size), at: time.Now()}
	})
}

func (l *Ledger) unanswered(account, boot string) {
	l.update(account, boot, func(h *hint) {
		h.failures++
		h.failed = time.Now()
	})
}

func (l *Ledger) update(account, boot string, change func(h *hint)) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.hints == nil || len(l.hints) >= hintLimit {
		l.hints = map[hintKey]hint{}
	}

	key := hintKey{account, boot}
	known := l.hints[key]
	change(&known)
	l.hints[key] = known
}
