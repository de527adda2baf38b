package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/triage"
)

const (
	// storeLoadTime is the time to load an adapter from the weight store while it isn't overloaded, and cacheLoadTime that from the cache of
	// the server, as the platform documents them.
	storeLoadTime = 250 * time.Millisecond
	cacheLoadTime = 25 * time.Millisecond
	// legacyStartMargin is the time for prefill and the first event that the order by due time alone allows for any prompt.
	legacyStartMargin = 130 * time.Millisecond
)

// turn is the place of a request in the order in which requests are started.
type turn struct {
	request *Request
	// infeasible is true if the request can't start before it expires, and retryAfter is the time after which there is capacity for one like it.
	infeasible bool
	retryAfter time.Duration
}

// plan returns the waiting requests in the order in which they are started.
func (s *Scheduler) plan(now time.Time) []turn {
	if !s.policy().plans() {
		return s.orderByDue(now)
	}

	s.fillCandidates(now)

	turns := s.turns[:0]

	for _, planned := range s.triage.Plan(now, s.busy(now), s.candidates) {
		request := s.queue[planned.Index]
		request.displacedNow = planned.Standing == triage.Displaced
		request.Displaced = request.Displaced || request.displacedNow
		turns = append(turns, turn{request: request, infeasible: planned.Standing == triage.Infeasible, retryAfter: planned.RetryAfter})
	}

	s.turns = turns

	return turns
}

// fillCandidates describes the queue for the plan.
func (s *Scheduler) fillCandidates(now time.Time) {
	present, usual := s.pace.Prefill(now), s.pace.UsualPrefill()
	s.candidates = s.candidates[:0]

	for _, request := range s.queue {
		c := triage.Candidate{
			Work:      s.work(request),
			Prefill:   present.Time(request.InputTokens),
			Usual:     usual.Time(request.InputTokens),
			Displaced: request.displacedNow,
		}

		c.Work.Due = c.Work.Due.Add(-c.Prefill)

		if request.fetched && !s.isLoaded(request) {
			c.Ready = s.loadTime(now, request)
		}

		s.candidates = append(s.candidates, c)
	}

	triage.MarkUnderserved(s.candidates, &s.shares)
}

// work describes a request; its due time is that of its first event.
func (s *Scheduler) work(request *Request) triage.Work {
	return triage.Work{
		Urgency: request.Urgency,
		Due:     request.Due,
		Expires: request.Expires,
		Tokens:  request.InputTokens,
		Output:  request.MaxOutputTokens,
		Fetch:   request.fetched,
		Resumed: request.Resumed,
	}
}

// loadTime returns the time until the adapter of a request is loaded, if its load is ordered after those under way.
func (s *Scheduler) loadTime(now time.Time, request *Request) time.Duration {
	if found := s.adapters[request.Adapter]; found != nil && found.loading {
		expected := cacheLoadTime
		if found.fromStore {
			expected = storeLoadTime
		}

		return max(expected-now.Sub(found.loadingSince), 0)
	}

	if s.canLoadFromCache(request) {
		return cacheLoadTime
	}

	return storeLoadTime
}

// busy returns how long the server still prefills the prompts that it has begun.
func (s *Scheduler) busy(now time.Time) triage.Busy {
	if s.prefilling == 0 {
		return triage.Busy{}
	}

	var (
		present, usual = s.pace.Prefill(now), s.pace.UsualPrefill()
		first          time.Time
	)

	for request := range s.active {
		if request.phase == prefilling && (first.IsZero() || request.sentAt.Before(first)) {
			first = request.sentAt
		}
	}

	spent := now.Sub(first)

	return triage.Busy{
		Present: max(present.Time(s.prefillTokens)-spent, 0),
		Usual:   max(usual.Time(s.prefillTokens)-spent, 0),
	}
}

// orderByDue returns the waiting requests by urgency and arrival; those that can still be on time go first unless the policy keeps the order.
func (s *Scheduler) orderByDue(now time.Time) []turn {
	turns := s.turns[:0]
	for _, request := range s.queue {
		turns = append(turns, turn{request: request})
	}

	isLate := func(request *Request) int {
		if !s.policy().KeepArrivalOrder && now.Add(legacyStartMargin).After(request.Due) {
			return 1
		}

		return 0
	}

	slices.SortStableFunc(turns, func(a, b turn) int {
		return cmp.Or(isLate(a.request)-isLate(b.request), a.request.Urgency-b.request.Urgency, a.request.Arrived.Compare(b.request.Arrived))
	})

	s.turns = turns

	return turns
}

// refuse removes a waiting request and returns the decision. It counts as not served if the server was too busy for it.
func (s *Scheduler) refuse(request *Request, early bool, err *fault.Error) Refuse {
	invariant.Check(request.phase == waiting, "schedule.refuse", "a request is refused that has started")

	if err.Kind == fault.Overloaded && !s.resting {
		s.shares.Record(s.work(request), false)
	}

	s.dequeue(request)
	request.phase = ended

	return Refuse{Request: request, Early: early, Err: err}
}

func (s *Scheduler) dequeue(request *Request) {
	s.queue = slices.DeleteFunc(s.queue, func(other *Request) bool { return other == request })
}
