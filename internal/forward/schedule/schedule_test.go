package schedule_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

var start = time.Unix(1_000_000, 0)

func limits() schedule.Limits {
	return schedule.Limits{
		Slots:           8,
		AdapterSlots:    2,
		KVCapacity:      10_000,
		CapacityMB:      1000,
		StartsPerSecond: 18,
		Models:          []schedule.Model{{Name: "m", WeightsMB: 900, AdapterMB: 10}},
	}
}

func adapter(name string) schedule.Adapter {
	return schedule.Adapter{Model: "m", Name: name}
}

func reportWith(orders int64, adapters ...schedule.AdapterVersion) schedule.Report {
	return schedule.Report{StartedAt: 1, Orders: orders, Models: []schedule.LoadedModel{{Name: "m", Adapters: adapters}}}
}

func adapterVersion(name string, version int64) schedule.AdapterVersion {
	return schedule.AdapterVersion{Adapter: adapter(name), Version: version}
}

func request(name string, at time.Time) *schedule.Request {
	return &schedule.Request{Adapter: adapter(name), InputTokens: 100, MaxOutputTokens: 100, Arrived: at, Expires: at.Add(time.Second)}
}

// ready returns a scheduler whose server holds the adapters.
func ready(adapters ...schedule.AdapterVersion) *schedule.Scheduler {
	s := &schedule.Scheduler{}
	s.Configure(limits())
	s.Observe(start, reportWith(0, adapters...))

	return s
}

func started(actions []schedule.Action) []*schedule.Request {
	var requests []*schedule.Request

	for _, action := range actions {
		if start, ok := action.(schedule.Start); ok {
			requests = append(requests, start.Request)
		}
	}

	return requests
}

// Guards against a request that is sent before its adapter is loaded, which the server rejects.
func TestRequestWaitsForItsAdapter(t *testing.T) {
	s := ready()
	waiting := request("a1", start)
	s.Add(waiting)
	assert.Equal(t, len(s.Dispatch(start)), 0)

	order, ok := s.NextOrder(start)
	assert.Assert(t, ok)
	assert.Equal(t, order, schedule.Order{Kind: schedule.Load, Adapter: adapter("a1"), ExpectedOrders: 0})

	s.RecordOutcome(start, order, schedule.Accepted)

	_, again := s.NextOrder(start)
	assert.Assert(t, !again, "the same load is ordered twice")

	loading := reportWith(1)
	loading.Loading = []schedule.AdapterVersion{adapterVersion("a1", 1)}
	s.Observe(start.Add(100*time.Millisecond), loading)
	assert.Equal(t, len(s.Dispatch(start.Add(100*time.Millisecond))), 0)

	later := start.Add(250 * time.Millisecond)
	s.Observe(later, reportWith(1, adapterVersion("a1", 1)))
	assert.DeepEqual(t, len(started(s.Dispatch(later))), 1)
}

// Guards against the eviction of an adapter in use, and against more adapters than the server has slots for.
func TestAdaptersInUseAreNotEvicted(t *testing.T) {
	s := ready(adapterVersion("a1", 1), adapterVersion("a2", 1))

	busy := request("a1", start)
	s.Add(busy)
	assert.Equal(t, len(started(s.Dispatch(start))), 1)

	s.Add(request("a3", start))

	order, ok := s.NextOrder(start)
	assert.Assert(t, ok)
	assert.Equal(t, order.Kind, schedule.Unload)
	assert.Equal(t, order.Adapter, adapter("a2"))

	s.RecordOutcome(start, order, schedule.Accepted)

	order, ok = s.NextOrder(start)
	assert.Assert(t, ok)
	assert.Equal(t, order, schedule.Order{Kind: schedule.Load, Adapter: adapter("a3"), ExpectedOrders: 1})

	s.RecordOutcome(start, order, schedule.Accepted)
	s.Add(request("a4", start))

	_, ok = s.NextOrder(start)
	assert.Assert(t, !ok, "one adapter slot is in use and the other is being loaded")
}

// Guards against a crash of the server by more adapters or weights than it can hold, and against the unload of an adapter in
// use.
func TestLoadsStayWithinAdapterSlotsAndCapacity(t *testing.T) {
	cases := map[string]struct {
		slots    int
		capacity float64
		// held are the loaded adapters, used those of them that run requests, and pending those that are being loaded.
		held, used, pending []string
		want                schedule.OrderKind
		noOrder             bool
	}{
		"a slot is free":               {slots: 2, capacity: 1000, held: []string{"a1"}, want: schedule.Load},
		"no free slot, one not in use": {slots: 2, capacity: 1000, held: []string{"a1", "a2"}, used: []string{"a1"}, want: schedule.Unload},
		"no free slot, all in use":     {slots: 2, capacity: 1000, held: []string{"a1", "a2"}, used: []string{"a1", "a2"}, noOrder: true},
		"last slot is being loaded": {
			slots: 2, capacity: 1000, held: []string{"a1"}, used: []string{"a1"}, pending: []string{"a2"}, noOrder: true,
		},
		"no capacity, one not in use":   {slots: 9, capacity: 925, held: []string{"a1", "a2"}, want: schedule.Unload},
		"no capacity, one being loaded": {slots: 9, capacity: 925, held: []string{"a1"}, used: []string{"a1"}, pending: []string{"a2"}, noOrder: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := ready(adapterVersion("new", 1))
			limits := limits()
			limits.AdapterSlots, limits.CapacityMB = c.slots, c.capacity
			s.Configure(limits)

			// An adapter that was in use recently is cached at the server, so that its load waits for no fetch.
			earlier := request("new", start)
			s.Add(earlier)
			s.Dispatch(start)
			s.Remove(earlier)

			report := reportWith(3)
			for _, name := range c.held {
				report.Models[0].Adapters = append(report.Models[0].Adapters, adapterVersion(name, 1))
			}

			for _, name := range c.pending {
				report.Loading = append(report.Loading, adapterVersion(name, 1))
			}

			s.Observe(start, report)

			for _, name := range c.used {
				running := request(name, start)
				s.Add(running)
				assert.Equal(t, len(started(s.Dispatch(start))), 1)
				s.ObserveEvent(start, running)
			}

			s.Add(request("new", start))

			order, ok := s.NextOrder(start)
			assert.Equal(t, ok, !c.noOrder, "%+v", order)

			if ok {
				assert.Equal(t, order.Kind, c.want)
			}
		})
	}
}

// Guards against a crash of the server by a load that is carried out late: an order without an answer counts as not accepted,
// and the next one expects the count of the report.
func TestOrderWithoutAnswerIsAskedAgainWithTheReportedCount(t *testing.T) {
	s := ready()
	s.Add(request("a1", start))

	order, _ := s.NextOrder(start)
	s.RecordOutcome(start, order, schedule.Unknown)

	_, ok := s.NextOrder(start.Add(time.Millisecond))
	assert.Assert(t, !ok, "no order before the next report")

	later := start.Add(200 * time.Millisecond)
	s.Observe(later, reportWith(1, adapterVersion("a9", 1)))

	order, ok = s.NextOrder(later)
	assert.Assert(t, ok)
	assert.Equal(t, order.ExpectedOrders, int64(1))
}

// Guards against a request that runs on an older version of its adapter than was announced.
func TestOlderVersionIsReplacedBeforeTheRequestRuns(t *testing.T) {
	s := ready(adapterVersion("a1", 1))
	newer := request("a1", start)
	newer.MinVersion = 2
	s.Add(newer)
	assert.Equal(t, len(s.Dispatch(start)), 0)

	order, ok := s.NextOrder(start)
	assert.Assert(t, ok)
	assert.Equal(t, order.Kind, schedule.Load)
	s.RecordOutcome(start, order, schedule.Accepted)

	s.Observe(start.Add(50*time.Millisecond), reportWith(1, adapterVersion("a1", 1)))
	assert.Equal(t, len(s.Dispatch(start.Add(50*time.Millisecond))), 0)

	s.Observe(start.Add(250*time.Millisecond), reportWith(1, adapterVersion("a1", 2)))
	assert.Equal(t, len(started(s.Dispatch(start.Add(250*time.Millisecond)))), 1)
}

// Guards against a request that waits for long runs of an older version: it is refused so that another server can run it.
func TestOlderVersionInUseRefusesAtOnce(t *testing.T) {
	s := ready(adapterVersion("a1", 1))
	s.Add(request("a1", start))
	assert.Equal(t, len(started(s.Dispatch(start))), 1)

	newer := request("a1", start)
	newer.MinVersion = 2
	s.Add(newer)

	actions := s.Dispatch(start)
	assert.Equal(t, len(actions), 1)

	refuse, ok := actions[0].(schedule.Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refuse.Err.Kind, fault.AdapterUnavailable)
}

// Guards against pauses of running streams while many prompts are prefilled concurrently.
func TestConcurrentPrefillsAreBounded(t *testing.T) {
	s := ready(adapterVersion("a1", 1))

	for range 5 {
		s.Add(request("a1", start))
	}

	first := started(s.Dispatch(start))
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(started(s.Dispatch(start))), 0)

	s.ObserveEvent(start, first[0])
	assert.Equal(t, len(started(s.Dispatch(start))), 1)
}

// Guards against more starts in a second than a server can take that has become cold without a report of it.
func TestStartsInASecondAreBounded(t *testing.T) {
	s := ready(adapterVersion("a1", 1))
	count := 0

	for at := start; at.Before(start.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
		s.Add(request("a1", at))

		for _, begun := range started(s.Dispatch(at)) {
			count++

			s.ObserveEvent(at, begun)
			s.Remove(begun)
		}
	}

	assert.Equal(t, count, limits().StartsPerSecond)
}

// Guards against a request that stays queued although it can no longer be answered in time, and against work for a draining
// server.
func TestRequestsThatCannotBeServedAreRefused(t *testing.T) {
	cases := map[string]struct {
		report schedule.Report
		at     time.Duration
		kind   fault.Kind
	}{
		"too late": {report: reportWith(0), at: 2 * time.Second, kind: fault.Overloaded},
		"draining": {report: schedule.Report{StartedAt: 1, Draining: true}, at: 0, kind: fault.Draining},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := ready()
			s.Observe(start, c.report)
			s.Add(request("a1", start))

			actions := s.Dispatch(start.Add(c.at))
			assert.Equal(t, len(actions), 1)

			refuse, ok := actions[0].(schedule.Refuse)
			assert.Assert(t, ok)
			assert.Equal(t, refuse.Err.Kind, c.kind)
		})
	}
}

// Guards against the assumption that a restarted server still holds the adapters of the previous process.
func TestRestartedServerHoldsNothing(t *testing.T) {
	s := ready(adapterVersion("a1", 1))
	s.Observe(start, schedule.Report{StartedAt: 2})

	assert.Equal(t, len(s.State(start).Adapters), 0)

	order, ok := s.NextOrder(start)
	assert.Assert(t, ok)
	assert.Equal(t, order, schedule.Order{Kind: schedule.Load, Adapter: schedule.Adapter{Model: "m"}})
}

// Guards against urgent requests that wait behind less urgent ones.
func TestUrgentRequestsGoFirst(t *testing.T) {
	s := ready(adapterVersion("a1", 1))

	slow := request("a1", start)
	slow.Urgency = 2
	other := request("a1", start.Add(time.Millisecond))
	other.Urgency = 2
	urgent := request("a1", start.Add(2*time.Millisecond))

	for _, each := range []*schedule.Request{slow, other, urgent} {
		s.Add(each)
	}

	first := started(s.Dispatch(start.Add(3 * time.Millisecond)))
	assert.Equal(t, len(first), 1)
	assert.Assert(t, first[0] == urgent)

	s.ObserveEvent(start.Add(3*time.Millisecond), urgent)

	second := started(s.Dispatch(start.Add(4 * time.Millisecond)))
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0] == slow)
}

// Guards against late requests that make others late: they wait until no request can be on time any more.
func TestLateRequestsGoBehindThoseOnTime(t *testing.T) {
	s := ready(adapterVersion("a1", 1))

	late := request("a1", start)
	late.Due = start.Add(10 * time.Millisecond)
	late.Expires = start.Add(time.Minute)
	onTime := request("a1", start.Add(time.Second))
	onTime.Due = start.Add(2 * time.Second)

	s.Add(late)
	s.Add(onTime)

	first := started(s.Dispatch(start.Add(time.Second)))
	assert.Equal(t, len(first), 1)
	assert.Assert(t, first[0] == onTime)
}

// Guards against a fetch for a late request before that for one that can still be on time.
func TestFetchesForLateRequestsGoBehind(t *testing.T) {
	s := ready()

	late := request("a1", start)
	late.Due = start.Add(10 * time.Millisecond)
	onTime := request("a2", start.Add(500*time.Millisecond))
	onTime.Due = start.Add(time.Second)

	s.Add(late)
	s.Add(onTime)

	order, ok := s.NextOrder(start.Add(500 * time.Millisecond))
	assert.Assert(t, ok)
	assert.Equal(t, order.Adapter, onTime.Adapter)
}

// Guards against concurrent fetches that slow each other down until every request waits too long for its adapter: a server
// fetches one adapter at a time, and meanwhile loads adapters from its cache.
func TestOneFetchAtATime(t *testing.T) {
	s := ready(adapterVersion("a1", 1), adapterVersion("a2", 1))
	s.Add(request("a1", start))

	begun := started(s.Dispatch(start))
	assert.Equal(t, len(begun), 1)
	s.Remove(begun[0])

	// The server now has no adapter loaded, but the one that was in use is in its cache.
	s.Observe(start, reportWith(2))
	s.Add(request("a3", start))
	s.Add(request("a4", start.Add(time.Millisecond)))
	s.Add(request("a1", start.Add(2*time.Millisecond)))

	now := start.Add(3 * time.Millisecond)

	order, ok := s.NextOrder(now)
	assert.Assert(t, ok)
	assert.Equal(t, order.Adapter, adapter("a3"))
	s.RecordOutcome(now, order, schedule.Accepted)

	order, ok = s.NextOrder(now)
	assert.Assert(t, ok)
	assert.Equal(t, order.Adapter, adapter("a1"))
	s.RecordOutcome(now, order, schedule.Accepted)

	_, ok = s.NextOrder(now)
	assert.Assert(t, !ok, "a second fetch starts during the first")
	assert.Equal(t, s.State(now).Fetches, 2)
}

// Guards against a request that starts with an adapter while the order to unload it is in flight.
func TestAdapterThatIsBeingUnloadedStartsNothing(t *testing.T) {
	s := ready(adapterVersion("a1", 1), adapterVersion("a2", 1))
	s.Add(request("a3", start))

	order, ok := s.NextOrder(start)
	assert.Assert(t, ok)
	assert.Equal(t, order.Kind, schedule.Unload)

	s.Add(&schedule.Request{Adapter: order.Adapter, Arrived: start.Add(time.Millisecond), Expires: start.Add(time.Second)})
	assert.Equal(t, len(started(s.Dispatch(start.Add(time.Millisecond)))), 0)

	// The server rejected the order and still lists the adapter.
	s.RecordOutcome(start, order, schedule.Rejected)
	s.Observe(start.Add(10*time.Millisecond), reportWith(0, adapterVersion("a1", 1), adapterVersion("a2", 1)))
	assert.Equal(t, len(started(s.Dispatch(start.Add(11*time.Millisecond)))), 1)
}

// Guards against requests and orders beyond the limit that the server has named, and against a queue that holds requests which cannot
// start in time.
func TestNamedLimitIsKept(t *testing.T) {
	s := ready(adapterVersion("a1", 1))
	assert.Assert(t, s.ObserveLimit(start, start, throttle.Limit{Named: true, Rate: 1}))
	assert.Assert(t, !s.ObserveLimit(start, start.Add(-time.Millisecond), throttle.Limit{}), "an answer to an earlier request ends the limit")

	// After the pause, one request a second starts. Those that wait expire after a second.
	s.Add(request("a1", start))
	s.Add(request("a1", start))

	actions := s.Dispatch(start)
	assert.Equal(t, len(actions), 2)

	for _, action := range actions {
		refused, ok := action.(schedule.Refuse)
		assert.Assert(t, ok)
		assert.Assert(t, refused.Err.RetryDelay() >= time.Second, "%s", refused.Err.RetryDelay())
	}

	now := start.Add(2 * time.Second)
	s.Add(request("a1", now))
	s.Add(request("a2", now))
	assert.Equal(t, len(s.Dispatch(now)), 1)

	_, ok := s.NextOrder(now)
	assert.Assert(t, !ok, "an order is sent beyond the limit")

	next, ok := s.NextWakeup()
	assert.Assert(t, ok)
	assert.Equal(t, next, now.Add(time.Second))

	_, ok = s.NextOrder(next)
	assert.Assert(t, ok)
}

// Guards against a limit that outlives the process of the server, and against one that entries are not told of.
func TestNamedLimitEndsWithARestart(t *testing.T) {
	s := ready(adapterVersion("a1", 1))
	s.ObserveLimit(start, start, throttle.Limit{Named: true, Rate: 2})

	state := s.State(start)
	assert.Equal(t, state.StartSpacing, 500*time.Millisecond)
	assert.Equal(t, state.StartDelay, 1500*time.Millisecond)

	s.Observe(start, schedule.Report{StartedAt: 2})
	assert.Equal(t, s.State(start).StartSpacing, time.Duration(0))
}

// Guards against an adapter that is loaded again and again although its load ends the server, and against one that never loads again.
func TestLoadDuringWhichTheServerEndedIsNotRepeated(t *testing.T) {
	s := ready()
	s.Add(request("a1", start))

	order, ok := s.NextOrder(start)
	assert.Assert(t, ok)
	s.RecordOutcome(start, order, schedule.Accepted)

	s.BlockLoading(start)
	s.Observe(start, schedule.Report{StartedAt: 2, Models: []schedule.LoadedModel{{Name: "m"}}})

	actions := s.Dispatch(start)
	assert.Equal(t, len(actions), 1)

	refused, ok := actions[0].(schedule.Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refused.Err.Kind, fault.AdapterUnavailable)

	later := start.Add(6 * time.Second)
	s.Add(request("a1", later))
	assert.Equal(t, len(s.Dispatch(later)), 0)

	_, ok = s.NextOrder(later)
	assert.Assert(t, ok)
}
