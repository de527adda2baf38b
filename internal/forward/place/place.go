// Package place chooses the backend server of a request. For model servers it balances thousands of adapters with skewed
// popularity over few adapter slots: each adapter has a preferred server, the first in its rendezvous ranking, and popular
// adapters are loaded at further servers.
package place

import "time"

const (
	// defaultRate is the prefill speed in tokens per second of a server whose own is not known.
	defaultRate = 20_000
	// usualSlowness is that of a server that works as fast as it usually does, in percent.
	usualSlowness = 100
	// othersShare is the part of the work that this entry has sent to a server since its last state that each other entry is expected to have
	// sent there as well: entries choose from the same states, but for different adapters. Without it, all of them send to the one fastest
	// server until its state shows their work.
	othersShare = 0.5
	// eventReserve is the time that a pause of the length of a prefill needs besides it, at the usual pace: streams have about two events around
	// it, 50 ms each.
	eventReserve = 100 * time.Millisecond
	// stallCost is the cost of each stream at a server for a prompt whose prefill takes longer than the pause that streams allow. It makes
	// them late, or waits until they have ended; an agent lets it wait for no longer than its own first event is on time, which takes at
	// least maxStallCost.
	stallCost    = 100 * time.Millisecond
	maxStallCost = 800 * time.Millisecond
	// loadInProgressCost is the expected wait for an adapter that is already being loaded.
	loadInProgressCost = 120 * time.Millisecond
	// preferredLoadCost is the expected cost of a load at the preferred server of an adapter, which likely has the weights in
	// its main memory.
	preferredLoadCost = 200 * time.Millisecond
	// otherLoadCost is the cost of a load at another server. It is above the duration of a fetch, because each fetch slows
	// down others.
	otherLoadCost = 500 * time.Millisecond
	// prefixReuseCost is multiplied by the rank of the server, which is 0 for the preferred one. Servers of a low rank likely
	// have the shared prefix of the prompt in their cache.
	prefixReuseCost = 2 * time.Millisecond
	// loadRankCost is multiplied by the rank of the server if the adapter has to be loaded, so that further copies of an adapter
	// are loaded in the order of ranks.
	loadRankCost = 10 * time.Millisecond
	// fetchCost is the cost of each fetch that a load waits for. It is below the duration of a fetch, because a request that
	// avoids the queue of its preferred server causes a further fetch elsewhere.
	fetchCost = 100 * time.Millisecond
	// noIdleSlotCost is the cost of a load at a server whose adapter slots are all in use.
	noIdleSlotCost = 1500 * time.Millisecond
	// runningCost is the slowdown by each running request.
	runningCost = time.Millisecond
	// otherDomainCost is the cost of a server in another failure domain than the entry, since traffic between failure domains
	// is paid for.
	otherDomainCost = 5 * time.Millisecond
	// suspectCost is the cost of a server whose last requests failed.
	suspectCost = 2 * time.Second
)

// Residency is the load state of an adapter at a server.
type Residency int

// The values of Residency.
const (
	// Absent means that the adapter has to be loaded.
	Absent Residency = iota
	// Loading means that a load of the adapter is in progress.
	Loading
	// Present means that the adapter is loaded.
	Present
)

// ModelServer is a model server as a candidate for one request.
type ModelServer struct {
	ID     string
	Domain string
	// Residency is that of the requested adapter, at a version on which the request may run.
	Residency Residency
	// Backlog is the number of prompt tokens that are prefilled before those of the request, as the server has reported, and Sent the
	// number of those that this entry has sent since.
	Backlog int64
	Sent    int64
	// Rate is how many prompt tokens the server usually prefills in a second; 0 if it is not known.
	Rate float64
	// Slowness is how long work takes now, in percent of what is usual for this server; 0 if it is not known.
	Slowness int
	// Running is the number of requests that the server runs.
	Running int
	// Fetches is the number of adapters that the server fetches from the weight store or that wait for it.
	Fetches int
	// IdleAdapterSlots is the number of adapter slots whose adapter, if any, is neither in use nor being loaded.
	IdleAdapterSlots int
	// StartDelay is the time until the request could start within the limit that the server has named; 0 without a limit.
	StartDelay time.Duration
	// Suspect is true if the last requests to the server failed.
	Suspect bool
}

// Query describes the request for which a server is chosen.
type Query struct {
	// Adapter is the key of the rendezvous ranking, so that every entry ranks the servers in the same order: the model and the
	// adapter, or for a request to the base model the model and the id of the first part of its prompt.
	Adapter string
	// Domain is the failure domain of the entry.
	Domain string
	// PromptTokens is the size of the prompt, and MaxGap the longest pause that its route allows between two events; 0 for none.
	PromptTokens int64
	MaxGap       time.Duration
	// Entries is the number of entries that choose from the same servers; 0 if it is not known.
	Entries int
}

// ChooseWithin is like Choose, but returns the server with the shortest wait if that of the one with the lowest cost is longer than the request may
// wait: a request is not refused as long as any server can start it in time.
func ChooseWithin(query Query, servers []ModelServer, maxWait time.Duration) (int, time.Duration) {
	at, wait := Choose(query, servers)
	if at < 0 || wait <= maxWait {
		return at, wait
	}

	query.PromptTokens, query.MaxGap = 0, 0

	return Choose(query, servers)
}

// Choose returns the index of the model server with the lowest cost, and the wait until the request is expected to be started there; -1 if there
// are no candidates. The cost is that wait, the prefill of the request itself, and what it costs the streams of the server.
func Choose(query Query, servers []ModelServer) (int, time.Duration) {
	if len(servers) == 0 {
		return -1, 0
	}

	choice := newChoice(&query, servers)
	defer choice.release()

	choice.run()

	return choice.best, choice.wait(choice.best, choice.bestRank)
}

// tokenTime returns how long the prefill of one prompt token takes now, in nanoseconds.
func (s *ModelServer) tokenTime() float64 {
	rate := s.Rate
	if !(rate > 0) {
		rate = defaultRate
	}

	return float64(time.Second) / rate * float64(s.slowness()) / usualSlowness
}

func (s *ModelServer) slowness() int {
	if s.Slowness <= 0 {
		return usualSlowness
	}

	return s.Slowness
}

// ahead returns the expected number of prompt tokens that are prefilled before those of the request.
func (s *ModelServer) ahead(query *Query) float64 {
	others := float64(max(query.Entries-1, 0))

	return float64(s.Backlog) + float64(s.Sent)*(1+othersShare*others)
}

// wait returns the expected wait until the request is started, given the rank of the server.
func (s *ModelServer) wait(query *Query, rank int, tokenTime float64) time.Duration {
	wait := time.Duration(s.ahead(query) * tokenTime)
	wait += time.Duration(s.Running) * runningCost
	wait += time.Duration(rank) * prefixReuseCost
	wait += s.StartDelay

	if s.Domain != query.Domain {
		wait += otherDomainCost
	}

	if s.Suspect {
		wait += suspectCost
	}

	return wait + s.loadCost(rank)
}

// cost returns the cost of the server for the request, which does not decrease with its rank.
func (s *ModelServer) cost(query *Query, rank int) time.Duration {
	tokenTime := s.tokenTime()
	prefill := time.Duration(float64(query.PromptTokens) * tokenTime)

	return s.wait(query, rank, tokenTime) + prefill + s.stall(query, prefill)
}

// stall returns the cost of a prefill that takes longer than the pause that the streams of the server allow. The other streams are taken for ones
// of the same route.
func (s *ModelServer) stall(query *Query, prefill time.Duration) time.Duration {
	reserve := eventReserve * time.Duration(s.slowness()) / usualSlowness

	if query.MaxGap <= 0 || prefill+reserve <= query.MaxGap {
		return 0
	}

	return min(time.Duration(s.Running)*stallCost, maxStallCost)
}

func (s *ModelServer) loadCost(rank int) time.Duration {
	switch {
	case s.Residency == Present:
		return 0
	case s.Residency == Loading:
		// The fetch of this adapter is one of Fetches; on average, half of them come before it.
		return loadInProgressCost + time.Duration(s.Fetches)*fetchCost/2
	case s.IdleAdapterSlots <= 0:
		return noIdleSlotCost
	case rank == 0:
		return preferredLoadCost + time.Duration(s.Fetches)*fetchCost
	default:
		return otherLoadCost + time.Duration(rank)*loadRankCost + time.Duration(s.Fetches)*fetchCost
	}
}
