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
	// defaultChunkTokens is the number of prompt tokens that a server prefills at most in one step, unless the fleet sets it, and eventTokens the
	// number of output tokens in an event.
	defaultChunkTokens = 2048
	eventTokens        = 4
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
	// prompts and streams are the requests in prefill and those with output, in the order of their starts. stepping is true during a step.
	prompts, streams []*execution
	stepping         bool
	// chunkTokens is the number of prompt tokens that it prefills at most in one step.
	chunkTokens int64
	pace        *serverPace
	lost        bool
}

// execution is a request that runs.
type execution struct {
	client    *clientRequest
	scheduled *schedule.Request
	// prefillLeft is the number of prompt tokens without prefill, and produced that of output tokens.
	prefillLeft, produced int64
	lastEvent             time.Time
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
	s.prompts = append(s.prompts, &execution{client: s.requests[scheduled], scheduled: scheduled, prefillLeft: scheduled.InputTokens})
	s.beginStep()
}

// beginStep begins the next step of the server, unless one is under way or nothing runs. A step prefills at most one chunk and then makes one
// token of each stream.
func (s *server) beginStep() {
	if s.stepping || len(s.prompts)+len(s.streams) == 0 {
		return
	}

	s.stepping = true
	chunk := int64(0)

	for _, e := range s.prompts {
		part := min(e.prefillLeft, s.chunkTokens-chunk)
		e.prefillLeft -= part
		chunk += part
	}

	took := s.decodeStep() + time.Duration(float64(chunk)/prefillTokensPerMS*float64(time.Millisecond))
	s.clock.after(time.Duration(s.pace.slowness(s.clock.now)*float64(took)), s.endStep)
}

func (s *server) decodeStep() time.Duration {
	return decodeStepTime + time.Duration(len(s.streams))*decodeStepPerRequest
}

// endStep makes a token of each stream and the first one of each prompt that is prefilled.
func (s *server) endStep() {
	s.stepping = false

	if s.lost {
		return
	}

	ended := false

	for _, e := range s.streams {
		ended = s.produce(e) || ended
	}

	began := false

	for _, e := range s.prompts {
		if e.prefillLeft == 0 {
			began = true

			s.startOutput(e)
		}
	}

	s.prompts = slices.DeleteFunc(s.prompts, func(e *execution) bool { return e.prefillLeft == 0 })
	s.streams = slices.DeleteFunc(s.streams, func(e *execution) bool { return e.client.ended })

	if _, held := s.scheduler.HeldUntil(); began || ended || held {
		s.runScheduler()
	}

	s.beginStep()
}

// startOutput makes the first event of a request. Its client may have left.
func (s *server) startOutput(e *execution) {
	now := s.clock.now

	s.scheduler.ObserveSlowness(now, int(percent*s.pace.slowness(now)))
	s.scheduler.ObserveEvent(now, e.scheduled)

	e.client.firstOutput, e.lastEvent = now, now
	e.produced = 1

	if now.Sub(e.client.lastSent) > e.client.patience() {
		s.end(e)
		e.client.finish(outcomeFailed)

		return
	}

	s.streams = append(s.streams, e)
}

// produce makes one token of a stream and reports whether it was the last one.
func (s *server) produce(e *execution) bool {
	e.produced++
	last := e.produced >= e.scheduled.MaxOutputTokens

	if last || e.produced%eventTokens == 0 {
		e.client.maxGap = max(e.client.maxGap, s.clock.now.Sub(e.lastEvent))
		e.lastEvent = s.clock.now
		s.scheduler.ObserveEvent(s.clock.now, e.scheduled)
	}

	if last {
		s.end(e)
		e.client.onCompleted()
	}

	return last
}

// end removes a request from the server.
func (s *server) end(e *execution) {
	delete(s.requests, e.scheduled)
	s.scheduler.Remove(e.scheduled)
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
