package pace

import "time"

// Prefill is the expected pace at which prompts are prefilled.
type Prefill struct {
	perToken, overhead time.Duration
}

// Time returns the time from the send of a request with a prompt of the given size to its first event.
func (p Prefill) Time(tokens int64) time.Duration {
	return time.Duration(tokens)*p.perToken + p.overhead
}

// Stall returns the time for which the prefill of a prompt keeps the server from its running requests.
func (p Prefill) Stall(tokens int64) time.Duration {
	return time.Duration(tokens) * p.perToken
}

// Prefill returns the pace that is expected now. It is cheaper than PrefillTime for many prompts.
func (e *Estimator) Prefill(now time.Time) Prefill {
	return e.prefillAt(e.Slowness(now))
}

// UsualPrefill returns the pace that is usual for the server.
func (e *Estimator) UsualPrefill() Prefill {
	return e.prefillAt(e.usual())
}

func (e *Estimator) prefillAt(slowness int) Prefill {
	overhead, perToken := e.overhead, e.tokenTime
	if perToken == 0 {
		overhead, perToken = defaultOverhead, defaultTokenTime
	}

	return Prefill{perToken: perToken * time.Duration(slowness) / Usual, overhead: overhead * time.Duration(slowness) / Usual}
}
