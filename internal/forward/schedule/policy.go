package schedule

// Policy bounds what a server does concurrently and sets the order of requests. The zero value stands for DefaultPolicy; in
// any other value both counts are positive.
type Policy struct {
	// MaxPrefills is the number of requests that the server prefills at once. Prefill is interleaved with the decoding of
	// running requests, so that more of them would make the pauses between output tokens too long.
	MaxPrefills int
	// MaxFetches is the number of adapters that a server fetches from the weight store at once. The store slows down when
	// all servers together fetch many adapters, and requests that wait too long would cause further fetches elsewhere.
	MaxFetches int
	// OrderByUrgency starts requests by urgency and arrival, those past their due time last, and refuses them only when they expire. Otherwise
	// the order is that of least cost to callers, as internal/forward/triage decides.
	OrderByUrgency bool
	// KeepArrivalOrder orders requests as OrderByUrgency does, but leaves requests that can no longer be on time in their order of arrival.
	KeepArrivalOrder bool
	// FixedHarm lets a late request make one stream late, and one that expires within a second any number, whatever their urgency.
	FixedHarm bool
	// IgnoreGaps starts requests although their prefill makes the pauses between the events of running streams too long.
	IgnoreGaps bool
}

// DefaultPolicy is the policy of agents.
var DefaultPolicy = Policy{MaxPrefills: 1, MaxFetches: 1}

// plans reports whether the order is that of least cost to callers.
func (p Policy) plans() bool {
	return !p.OrderByUrgency && !p.KeepArrivalOrder
}
