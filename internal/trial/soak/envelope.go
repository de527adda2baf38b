package soak

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// spent is a lower bound of what one request took from its account.
type spent struct {
	// The admission lies between from and to.
	from, to time.Time
	tokens   float64
}

// checkEnvelope checks P6 for all windows of each account. The tokens of a request that ran are at least its prompt
// estimate and the output that its caller received. It was admitted after its caller sent it and before a backend server
// accepted it, so it counts in a window only if that whole interval is inside. The bound has no false alarms; it misses
// an excess that is smaller than what is in transit at the edges of the window, and output that no caller received.
func (f *Fleet) checkEnvelope() {
	byAccount := map[string][]spent{}
	counted := map[string]bool{}
	answers := slices.Clone(f.record.answers)

	slices.SortStableFunc(answers, func(a, b *answer) int { return a.sent.Compare(b.sent) })

	for _, each := range answers {
		starts := f.record.starts[each.nonce]

		// Repeats of an order start nothing, so that their charge is refunded.
		if each.kind == kindAvailability || len(starts) == 0 || counted[each.nonce] {
			continue
		}

		counted[each.nonce] = true
		one := spent{from: each.sent, to: starts[0].at, tokens: each.net()}

		byAccount[each.key.account] = append(byAccount[each.key.account], one)
	}

	for account, list := range byAccount {
		if over, at := excess(list); over > 0 {
			f.record.violate("P6: %s received %.1f tokens above its envelope in the window from %s", account, over, at.Format(time.StampMilli))
		}
	}
}

// net returns the least number of tokens that the call was charged after refunds.
func (a *answer) net() float64 {
	if a.kind == kindOrder {
		return orderCost
	}

	const bytesPerToken = 4

	return math.Ceil(float64(len(a.prompt))/bytesPerToken) + float64(a.words)
}

// excess returns the most tokens above rate and burst in any window, and the window's begin.
func excess(list []spent) (float64, time.Time) {
	const rounding = 1e-6

	slices.SortFunc(list, func(a, b spent) int { return cmp.Compare(a.to.UnixNano(), b.to.UnixNano()) })

	worst, at := 0.0, time.Time{}

	for _, first := range list {
		sum := 0.0

		for _, each := range list {
			if each.from.Before(first.from) {
				continue
			}

			sum += each.tokens
			allowed := rate*each.to.Sub(first.from).Seconds() + float64(burst)

			if over := sum - allowed - rounding; over > worst {
				worst, at = over, first.from
			}
		}
	}

	return worst, at
}
