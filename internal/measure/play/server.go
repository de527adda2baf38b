package play

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

const (
	// modelName is the base model of all servers.
	modelName = "m"
	// prefillTokensPerMS is the number of prompt tokens that a server prefills in a millisecond.
	prefillTokensPerMS = 20.4
	// decodeStepTime is the time of one decode step, which yields a token of each running request, and decodeStepPerRequest
	// what each running request adds to it.
	decodeStepTime       = 10100 * time.Microsecond
	decodeStepPerRequest = 50 * time.Microsecond
	// fetchTime is the time to load an adapter from the weight store at full speed, and cacheLoadTime from the cache of the
	// server.
	fetchTime     = 250 * time.Millisecond
	cacheLoadTime = 25 * time.Millisecond
	// cacheSize is the number of adapters in the cache of a server.
	cacheSize = 100
)

// store is the weight store. It slows down in proportion when it delivers more than fullSpeedFetches adapters at once.
type store struct {
	fullSpeedFetches int
	activeFetches    int
	totalFetches     int
}

func (s *store) startFetch() time.Duration {
	s.activeFetches++
	s.totalFetches++

	return fetchTime * time.Duration(max(s.activeFetches, s.fullSpeedFetches)) / time.Duration(s.fullSpeedFetches)
}

// server is a model server with its agent.
type server struct {
	id        string
	domain    string
	clock     *clock
	store     *store
	scheduler schedule.Scheduler
	requests  map[*schedule.Request]*clientRequest
	resident  map[schedule.Adapter]bool
	loading   []schedule.Adapter
	// cached holds the adapters in the cache of the server, the most recently used last.
	cached         []schedule.Adapter
	acceptedOrders int64
	// prefillEnd is when the prefill of all started requests ends.
	prefillEnd time.Time
	running    map[*clientRequest]bool
	lost       bool
}

// add adds a request from an entry to the scheduler.
func (s *server) add(c *clientRequest, scheduled *schedule.Request) {
	s.requests[scheduled] = c
	s.scheduler.Add(scheduled)
	s.runScheduler()
}

// runScheduler carries out the current decisions of the scheduler.
func (s *server) runScheduler() {
	for _, action := range s.scheduler.Dispatch(s.clock.now) {
		switch decision := action.(type) {
		case schedule.Start:
			s.startRequest(decision.Request)
		case schedule.Refuse:
			c := s.requests[decision.Request]
			delete(s.requests, decision.Request)
			c.onRefused(s, decision.Err)
		}
	}

	for order, ok := s.scheduler.NextOrder(s.clock.now); ok; order, ok = s.scheduler.NextOrder(s.clock.now) {
		s.executeOrder(order)
	}
}

// startRequest starts the prefill of a request.
func (s *server) startRequest(scheduled *schedule.Request) {
	c := s.requests[scheduled]
	now := s.clock.now
	s.prefillEnd = maxTime(s.prefillEnd, now).Add(time.Duration(float64(scheduled.InputTokens) / prefillTokensPerMS * float64(time.Millisecond)))

	// Running requests produce no output during prefill.
	for other := range s.running {
		other.maxGap = max(other.maxGap, s.prefillEnd.Sub(now))
	}

	s.clock.after(s.prefillEnd.Sub(now)+s.decodeStep(), func() { s.startOutput(scheduled, c) })
}

func (s *server) decodeStep() time.Duration {
	return decodeStepTime + time.Duration(len(s.running))*decodeStepPerRequest
}

func (s *server) startOutput(scheduled *schedule.Request, c *clientRequest) {
	if s.lost {
		return
	}

	c.firstOutput = s.clock.now
	s.running[c] = true
	s.scheduler.ObserveEvent(s.clock.now, scheduled)
	s.runScheduler()
	s.clock.after(time.Duration(scheduled.MaxOutputTokens)*s.decodeStep(), func() { s.completeRequest(scheduled, c) })
}

func (s *server) completeRequest(scheduled *schedule.Request, c *clientRequest) {
	if s.lost {
		return
	}

	delete(s.running, c)
	delete(s.requests, scheduled)
	s.scheduler.Remove(scheduled)
	c.onCompleted()
	s.runScheduler()
}

// executeOrder carries out a load or unload order of the scheduler.
func (s *server) executeOrder(order schedule.Order) {
	s.acceptedOrders++
	s.scheduler.RecordOutcome(s.clock.now, order, schedule.Accepted)

	adapter := order.Adapter

	if order.Kind == schedule.Unload {
		delete(s.resident, adapter)
		s.markCached(adapter)

		return
	}

	s.loading = append(s.loading, adapter)

	if index := slices.Index(s.cached, adapter); index >= 0 {
		s.clock.after(cacheLoadTime, func() { s.onLoaded(adapter) })
		return
	}

	s.clock.after(s.store.startFetch(), func() {
		s.store.activeFetches--
		s.onLoaded(adapter)
	})
}

func (s *server) onLoaded(adapter schedule.Adapter) {
	s.loading = slices.DeleteFunc(s.loading, func(other schedule.Adapter) bool { return other == adapter })
	s.resident[adapter] = true
	s.markCached(adapter)
	s.reportState()
	s.runScheduler()
}

func (s *server) markCached(adapter schedule.Adapter) {
	s.cached = append(slices.DeleteFunc(s.cached, func(other schedule.Adapter) bool { return other == adapter }), adapter)

	if len(s.cached) > cacheSize {
		s.cached = s.cached[1:]
	}
}

// reportState passes a report of the server to the scheduler.
func (s *server) reportState() {
	report := schedule.Report{StartedAt: 1, Orders: s.acceptedOrders, Models: []schedule.LoadedModel{{Name: modelName}}}

	for adapter := range s.resident {
		report.Models[0].Adapters = append(report.Models[0].Adapters, schedule.AdapterVersion{Adapter: adapter, Version: 1})
	}

	for _, adapter := range s.loading {
		report.Loading = append(report.Loading, schedule.AdapterVersion{Adapter: adapter, Version: 1})
	}

	s.scheduler.Observe(s.clock.now, report)
}

// markLost marks the server as lost and tells its requests, which are sent again or fail.
func (s *server) markLost() {
	s.lost = true

	affected := slices.Collect(maps.Values(s.requests))
	slices.SortFunc(affected, func(a, b *clientRequest) int { return a.number - b.number })

	for _, c := range affected {
		c.onServerLost()
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
