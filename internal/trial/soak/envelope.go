package soak

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// charge is a lower bound of the tokens that one request took from its account.
type charge struct {
	// The request was admitted between from and to.
	from, to time.Time
	tokens   float64
}

// checkEnvelope checks P6 for all windows of each account. The tokens of a request that ran are at least its prompt
// estimate and the output that its caller received. It was admitted after its caller sent it and before a backend server
// accepted it, so it counts in a window only if that whole interval is inside. The bound has no false alarms; it misses
// an excess smaller than what is in transit at the edges of the window, and output that no caller received.
func (f *Fleet) checkEnvelope() {
	byAccount := map[string][]charge{}
	counted := map[string]bool{}
	results := slices.Clone(f.record.results)

	slices.SortStableFunc(results, func(a, b *callResult) int { return a.sent.Compare(b.sent) })

	for _, each := range results {
		starts := f.record.starts[each.nonce]

		// Retries of an order start nothing, so that their charge is refunded.
		if each.kind == kindAvailability || len(starts) == 0 || counted[each.nonce] {
			continue
		}

		counted[each.nonce] = true
		one := charge{from: each.sent, to: starts[0].at, tokens: each.minCost()}

		byAccount[each.key.account] = append(byAccount[each.key.account], one)
	}

	for account, list := range byAccount {
		if over, at := maxExcess(list); over > 0 {
			f.record.reportViolation("P6: %s used %.1f tokens more than its limits allow in the window starting at %s", account, over, at.Format(time.StampMilli))
		}
	}
}

// minCost returns a lower bound of the tokens that the call was charged after refunds.
func (a *callResult) minCost() float64 {
	if a.kind == kindOrder {
		return orderCost
	}

	const bytesPerToken = 4

	return math.Ceil(float64(len(a.prompt))/bytesPerToken) + float64(a.outputTokens)
}

// maxExcess returns the largest excess over rate and burst in any window, in tokens, and the start of that window.
func maxExcess(list []charge) (float64, time.Time) {
	const rounding = 1e-6

	slices.SortFunc(list, func(a, b charge) int { return cmp.Compare(a.to.UnixNano(), b.to.UnixNano()) })

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
