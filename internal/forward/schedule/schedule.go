// Package schedule decides for one model server when each request is sent to it and which adapters it holds. It serves many
// small adapters with few adapter slots, and keeps long prompts from delaying the output of running requests.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/notice"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/pace"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/triage"
)

const (
	// maxLoading is the number of adapters that a server loads at once, as set by the platform's protocol.
	maxLoading = 4
	// maxCached is the number of adapters, loaded or not, that a server is assumed to keep in its cache, from which it loads
	// them without a fetch from the weight store.
	maxCached = 90
	// loadTimeout is how long an adapter may be missing from the reports after its order was accepted.
	loadTimeout = 2 * time.Second
	// orderRetryDelay is the delay of the next order after one that was rejected or got no answer.
	orderRetryDelay = 100 * time.Millisecond
	// rateWindow is the window over which starts are counted. It is longer than the second of the limit, because requests
	// reach the server some time after they are counted.
	rateWindow = 1100 * time.Millisecond
	// blockedLoadTime is how long an adapter is not loaded again after the server ended while it loaded it.
	blockedLoadTime = 5 * time.Second
)

// Scheduler schedules the requests and adapters of one model server. It is not safe for concurrent use.
type Scheduler struct {
	// Policy is set before use.
	Policy Policy

	limits Limits
	report Report
	// triage plans the order of the queue, and shares determines which kinds of requests were served too seldom. candidates and turns are the memory of
	// the latest plan.
	triage     triage.Queue
	shares     triage.Shares
	candidates []triage.Candidate
	turns      []turn
	// reachable is true if the server answered the last call for its report.
	reachable bool
	// queue holds the waiting requests by due time.
	queue []*Request
	// active holds the requests at the server.
	active map[*Request]bool
	// pace estimates how fast the server works, and prefillEnd is when it last ended a prefill.
	pace       pace.Estimator
	prefillEnd time.Time
	// lastPrefill is the last prefill that has ended; it is zero if other prompts were prefilled meanwhile. prefillAlone is true if no other prompt
	// was being prefilled when the present prefill began, and intervals are those between events of streams that have ended since.
	lastPrefill  pace.PrefillSpan
	prefillAlone bool
	intervals    []streamInterval
	// stalled is the total time in which streams got no tokens because of prefills that have ended.
	stalled time.Duration
	// held is true if a request waits only so that it does not delay streams, as of the last dispatch, and heldUntil is when that is checked
	// again without an event.
	held      bool
	heldUntil time.Time
	// heldUrgency is the urgency of the most urgent request that is held and fits after the next events; less urgent ones don't start before it.
	heldUrgency int
	adapters    map[Adapter]*adapterState
	// cached holds the adapters that are assumed to be in the server's cache with the time of their last load or use.
	cached map[Adapter]time.Time
	// starts holds the times of the starts within rateWindow, oldest first.
	starts []time.Time
	// running and prefilling count the requests at the server, and usedTokens the tokens that they may hold in the KV cache.
	running    int
	prefilling int
	usedTokens int64
	// prefillTokens is the number of prompt tokens of the requests that the server prefills.
	prefillTokens int64
	// blockedLoads holds the times until which adapters are not loaded again, because the server ended while it loaded them.
	blockedLoads map[Adapter]time.Time
	// noOrdersBefore is the time before which no order is sent.
	noOrdersBefore time.Time
	// notices holds what the server stated about whether it takes requests, and resting is true if it took none at the last
	// dispatch.
	notices notice.Record
	resting bool
	// limiter keeps requests and orders within the limit that the server has named, and limitedUntil is when it allows the next one;
	// it is zero if it allowed one at the last dispatch.
	limiter      throttle.Limiter
	limitedUntil time.Time
	// unanswered holds the orders that got no answer, and strays those to earlier processes of the server.
	unanswered, strays []strayOrder
	// delistedUntil is when requests are taken again after the server with the start time delistedStart left the list.
	delistedUntil time.Time
	delistedStart int64
	// closed is true once the agent shuts down.
	closed bool
}

// delistTime is how long requests are refused after the server has left the list: those of entries that have not read it yet are still on
// their way.
const delistTime = 2 * time.Second

// adapterState is the state of an adapter that is loaded or being loaded, or that requests use.
type adapterState struct {
	// version is the loaded version; 0 while none is loaded.
	version int64
	loading bool
	// unloading is true once an order to unload the adapter has been decided.
	unloading bool
	// fromStore is true if the load fetches the adapter from the weight store.
	fromStore bool
	// loadingSince is when the load was accepted, or first seen in a report.
	loadingSince time.Time
	// users counts the requests that run with the adapter.
	users    int
	lastUsed time.Time
}

func (s *Scheduler) policy() Policy {
	if s.Policy == (Policy{}) {
		return DefaultPolicy
	}

	return s.Policy
}

// Configure sets the limits of the server.
func (s *Scheduler) Configure(limits Limits) {
	s.limits = limits
}

// ObserveNotice records what the server stated about whether it takes requests.
func (s *Scheduler) ObserveNotice(now time.Time, n notice.Notice) {
	s.notices.Observe(now, s.report.StartedAt, n)
	s.resting = s.notices.RestLeft(now) > 0
}

// RestLeft returns how long the server wants to get nothing; 0 or less if it takes requests.
func (s *Scheduler) RestLeft(now time.Time) time.Duration {
	return s.notices.RestLeft(now)
}

// ObserveLimit records what the server stated about its limit in the response to a request that was sent at the given time, and reports
// whether the limit has changed.
func (s *Scheduler) ObserveLimit(now, sentAt time.Time, limit throttle.Limit) bool {
	return s.limiter.Observe(now, throttle.Statement{StartedAt: s.report.StartedAt, Limit: limit, At: sentAt})
}

// draining reports whether the server takes no new requests until it is started again.
func (s *Scheduler) draining() bool {
	return s.report.Draining || s.notices.Leaving(s.report.StartedAt)
}

// Delist makes the scheduler refuse all requests that have not started, for delistTime, if the process of the server started at the given
// time, in Unix milliseconds: it is no longer listed and may end at any time.
func (s *Scheduler) Delist(now time.Time, startedAt int64) {
	s.delistedUntil, s.delistedStart = now.Add(delistTime), startedAt
}

func (s *Scheduler) isDelisted(now time.Time) bool {
	return now.Before(s.delistedUntil) && s.report.StartedAt == s.delistedStart
}

// Close makes the scheduler refuse all requests that have not started.
func (s *Scheduler) Close() {
	s.closed = true
}

// ServerStart returns the start of the server's process in Unix milliseconds; 0 before its first report.
func (s *Scheduler) ServerStart() int64 {
	return s.report.StartedAt
}

// Configured reports whether the limits are known.
func (s *Scheduler) Configured() bool {
	return len(s.limits.Models) > 0
}

// Add adds a request to the queue.
func (s *Scheduler) Add(request *Request) {
	index, _ := slices.BinarySearchFunc(s.queue, request, func(a, b *Request) int {
		return cmp.Or(a.Due.Compare(b.Due), a.Arrived.Compare(b.Arrived))
	})
	s.queue = slices.Insert(s.queue, index, request)
	request.fetched = !s.isLoaded(request)
}

// Remove removes a request that waits or runs, and frees what it used.
func (s *Scheduler) Remove(request *Request) {
	switch request.phase {
	case waiting:
		s.dequeue(request)
	case prefilling:
		s.endPrefill(request)
		s.release(request)
	case decoding:
		s.release(request)
	case ended:
	}

	request.phase = ended
}

func (s *Scheduler) release(request *Request) {
	delete(s.active, request)

	s.running--
	s.usedTokens -= request.InputTokens + request.MaxOutputTokens

	invariant.Check(s.running >= 0 && s.usedTokens >= 0, "schedule.running", "%d requests run with %d tokens", s.running, s.usedTokens)

	if found := s.adapters[request.Adapter]; found != nil && found.users > 0 {
		found.users--
	}
}

func (s *Scheduler) endPrefill(request *Request) {
	s.prefilling--
	s.prefillTokens -= request.InputTokens
}

// Dispatch starts the waiting requests that the server can take, refuses those that it can't serve, and returns these
// decisions.
func (s *Scheduler) Dispatch(now time.Time) []Action {
	var actions []Action

	s.resting = s.notices.RestLeft(now) > 0
	s.held = false
	s.heldUrgency = UrgencyClasses
	// kept counts the requests that stay in the queue.
	kept := 0

	for _, next := range s.plan(now) {
		request := next.request

		if err := s.refusal(now, next, kept); err != nil {
			actions = append(actions, s.refuse(request, false, err))
			continue
		}

		if next.infeasible {
			err := fault.New(fault.Overloaded, "the request would expire before it can start at the backend server").WithRetryAfter(next.retryAfter)
			actions = append(actions, s.refuse(request, true, err))

			continue
		}

		if s.hasCapacity(now, request) && s.isLoaded(request) && !s.delaysStreams(now, request) && s.limiter.Take(now, 0) {
			s.start(now, request)
			actions = append(actions, Start{Request: request})

			continue
		}

		kept++
	}

	s.limitedUntil = time.Time{}
	if wait := s.limiter.Wait(now, 0); wait > 0 {
		s.limitedUntil = now.Add(wait)
	}

	return actions
}

// refusal returns why a request can't be served by this server; nil if it can. The given number of requests wait before it.
func (s *Scheduler) refusal(now time.Time, next turn, ahead int) *fault.Error {
	request := next.request
	limitWait := s.limiter.Wait(now, ahead)

	switch {
	case s.closed:
		return fault.New(fault.Draining, "the agent is shutting down")
	case s.draining():
		return fault.New(fault.Draining, "the backend server is draining")
	case s.isDelisted(now):
		return fault.New(fault.Draining, "the backend server is no longer listed")
	case request.StartedAt != 0 && s.report.StartedAt != 0 && request.StartedAt != s.report.StartedAt:
		return fault.New(fault.NoServer, "the backend server has started again, and the request goes on from the earlier process")
	case s.resting:
		return fault.New(fault.Overloaded, "the backend server takes no requests for a while").WithRetryAfter(s.notices.RestLeft(now))
	case now.After(request.Expires):
		return fault.New(fault.Overloaded, "the request waited too long to start at the backend server").WithRetryAfter(next.retryAfter)
	case now.Add(limitWait).After(request.Expires):
		return fault.New(fault.Overloaded, "the backend server has named a limit, and others wait").WithRetryAfter(limitWait)
	case !s.isLoaded(request) && now.Before(s.blockedLoads[request.Adapter]):
		return fault.New(fault.AdapterUnavailable, "the backend server ended while it loaded the adapter")
	case s.blockedByOlderVersion(request):
		return fault.New(fault.AdapterUnavailable, "an older version of the adapter is in use")
	}

	return nil
}

// blockedByOlderVersion reports whether running requests use an older version of the adapter; the server replaces it only
// when they have ended.
func (s *Scheduler) blockedByOlderVersion(request *Request) bool {
	found := s.adapters[request.Adapter]

	return found != nil && found.version > 0 && found.version < request.MinVersion && found.users > 0 && !found.loading
}

func (s *Scheduler) hasCapacity(now time.Time, request *Request) bool {
	if !s.reachable || s.prefilling >= s.policy().MaxPrefills || s.running >= s.limits.Slots {
		return false
	}

	if s.running > 0 && s.usedTokens+request.InputTokens+request.MaxOutputTokens > s.limits.KVCapacity {
		return false
	}

	s.starts = slices.DeleteFunc(s.starts, func(at time.Time) bool { return now.Sub(at) > rateWindow })

	return s.limits.StartsPerSecond <= 0 || len(s.starts) < s.limits.StartsPerSecond
}

// isLoaded reports whether the server holds the model or the adapter version that the request needs.
func (s *Scheduler) isLoaded(request *Request) bool {
	if request.Adapter.Name == "" {
		return s.modelLoaded(request.Adapter.Model)
	}

	found := s.adapters[request.Adapter]

	return found != nil && !found.loading && !found.unloading && found.version > 0 && found.version >= request.MinVersion
}

func (s *Scheduler) modelLoaded(model string) bool {
	return slices.ContainsFunc(s.report.Models, func(loaded LoadedModel) bool { return loaded.Name == model })
}

func (s *Scheduler) start(now time.Time, request *Request) {
	s.shares.Record(s.work(request), true)
	s.dequeue(request)
	s.starts = append(s.starts, now)
	s.running++
	s.prefillAlone = s.prefilling == 0
	s.intervals = s.intervals[:0]
	s.prefilling++
	s.prefillTokens += request.InputTokens
	s.usedTokens += request.InputTokens + request.MaxOutputTokens
	request.phase = prefilling
	request.sentAt = now

	if s.active == nil {
		s.active = map[*Request]bool{}
	}

	s.active[request] = true

	invariant.Check(s.running <= max(s.limits.Slots, 1), "schedule.slots", "%d requests run on %d slots", s.running, s.limits.Slots)
	invariant.Check(s.prefilling <= s.policy().MaxPrefills, "schedule.readers", "%d prompts are prefilled at once", s.prefilling)
	invariant.Check(s.limits.StartsPerSecond <= 0 || len(s.starts) <= s.limits.StartsPerSecond, "schedule.rate", "%d requests start in %s", len(s.starts), rateWindow)
	invariant.Check(s.isLoaded(request), "schedule.present", "adapter %s is not loaded", request.Adapter.Name)

	if found := s.adapters[request.Adapter]; found != nil {
		found.users++
		found.lastUsed = now
		s.cached[request.Adapter] = now
	}
}

// NextWakeup returns the next time at which Dispatch may decide differently without a report or another event, besides HeldUntil; false if there
// is none.
func (s *Scheduler) NextWakeup() (time.Time, bool) {
	var next time.Time

	for _, request := range s.queue {
		if next.IsZero() || request.Expires.Before(next) {
			next = request.Expires
		}
	}

	if len(s.queue) > 0 && len(s.starts) > 0 && s.prefilling < s.policy().MaxPrefills {
		if windowEnd := s.starts[0].Add(rateWindow); windowEnd.Before(next) {
			next = windowEnd
		}
	}

	if len(s.queue) > 0 && !s.limitedUntil.IsZero() && s.limitedUntil.Before(next) {
		next = s.limitedUntil
	}

	if s.resting && (next.IsZero() || s.notices.Until().Before(next)) {
		next = s.notices.Until()
	}

	return next, !next.IsZero()
}
