// Package schedule decides, beside one model server, when a request is sent to it and which adapters it holds. It answers
// the load of many small adapters on few places, and of long prompts that would delay the output of running requests.
package schedule

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

const (
	// transit is the number of adapters that may be in transit to a server at once, by the platform's protocol.
	transit = 4
	// keptLimit is the number of adapters that a server is believed to keep at hand after their unload.
	keptLimit = 90
	// loadTime is how long an adapter may be missing from the reports after its order was accepted.
	loadTime = 2 * time.Second
	// orderPause is the wait after an order without a clear answer.
	orderPause = 100 * time.Millisecond
	// rateWindow is the time over which the start rate is counted; a little over the second of the promise, because the
	// requests arrive some time after they are counted.
	rateWindow = 1100 * time.Millisecond
)

// Scheduler tracks one model server. It is not safe for concurrent use.
type Scheduler struct {
	// Policy is set before use.
	Policy Policy

	limits Limits
	report Report
	// reported says that the server has answered and does so still.
	reported bool
	queue    []*Request
	held     map[Adapter]*adapter
	// recent holds the adapters that the server has at hand and when they were last in use.
	recent map[Adapter]time.Time
	// starts holds the times of the latest starts, oldest first.
	starts []time.Time
	// running, reading and memory count the requests at the server.
	running int
	reading int
	memory  int64
	// prompts counts the prompt tokens of the requests that the server reads.
	prompts int64
	// pause is until when no order is sent.
	pause time.Time
	// closed says that the process beside the server is about to end.
	closed bool
}

// adapter is an adapter that the server holds, that is in transit or that requests use.
type adapter struct {
	// version is the version that the server holds; 0 while it holds none.
	version int64
	loading bool
	// leaving says that its unload is on the way.
	leaving bool
	// fetched says that the load brings the adapter from the weight store.
	fetched bool
	// since is when the load was accepted.
	since time.Time
	// users counts the requests that run with the adapter.
	users int
	used  time.Time
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

// Close makes the scheduler refuse all requests that have not started.
func (s *Scheduler) Close() {
	s.closed = true
}

// Configured reports whether the limits are known.
func (s *Scheduler) Configured() bool {
	return len(s.limits.Models) > 0
}

// Add puts a request into the queue, by urgency and then by arrival.
func (s *Scheduler) Add(ticket *Request) {
	at, _ := slices.BinarySearchFunc(s.queue, ticket, func(a, b *Request) int {
		if a.Urgency != b.Urgency {
			return a.Urgency - b.Urgency
		}

		return a.Arrived.Compare(b.Arrived)
	})
	s.queue = slices.Insert(s.queue, at, ticket)
}

// Remove ends a request, whether it waits or runs.
func (s *Scheduler) Remove(ticket *Request) {
	switch ticket.phase {
	case waiting:
		s.queue = slices.DeleteFunc(s.queue, func(other *Request) bool { return other == ticket })
	case reading:
		s.endReading(ticket)
		s.leave(ticket)
	case writing:
		s.leave(ticket)
	case ended:
	}

	ticket.phase = ended
}

func (s *Scheduler) leave(ticket *Request) {
	s.running--
	s.memory -= ticket.InputTokens + ticket.MaxOutputTokens

	invariant.Check(s.running >= 0 && s.memory >= 0, "schedule.running", "%d requests run with %d tokens", s.running, s.memory)

	if found := s.held[ticket.Adapter]; found != nil && found.users > 0 {
		found.users--
	}
}

// Begun says that the output of a request has begun.
func (s *Scheduler) OutputStarted(ticket *Request) {
	if ticket.phase == reading {
		ticket.phase = writing
		s.endReading(ticket)
	}
}

func (s *Scheduler) endReading(ticket *Request) {
	s.reading--
	s.prompts -= ticket.InputTokens
}

// Next returns what is to be done with waiting requests.
func (s *Scheduler) Dispatch(now time.Time) []Action {
	var actions []Action

	for _, ticket := range s.ordered(now) {
		if err := s.refusal(now, ticket); err != nil {
			s.Remove(ticket)
			actions = append(actions, Refuse{Request: ticket, Err: err})

			continue
		}

		if s.room(now, ticket) && s.present(ticket) {
			s.start(now, ticket)
			actions = append(actions, Start{Request: ticket})
		}
	}

	return actions
}

// ordered returns the waiting requests, those that can still be on time first.
func (s *Scheduler) ordered(now time.Time) []*Request {
	tickets := slices.Clone(s.queue)

	if s.policy().KeepArrivalOrder {
		return tickets
	}

	slices.SortStableFunc(tickets, func(a, b *Request) int {
		late, other := now.After(a.Due), now.After(b.Due)

		switch {
		case late == other:
			return 0
		case late:
			return 1
		default:
			return -1
		}
	})

	return tickets
}

// refusal returns why a request can't be served here.
func (s *Scheduler) refusal(now time.Time, ticket *Request) *fault.Error {
	switch {
	case s.closed:
		return fault.New(fault.Draining, "the agent is shutting down")
	case s.report.Draining:
		return fault.New(fault.Draining, "backend server is leaving")
	case now.After(ticket.Expires):
		return fault.New(fault.Overloaded, "no turn at the backend server in time")
	case s.stale(ticket):
		return fault.New(fault.AdapterUnavailable, "an older version of the adapter is in use")
	}

	return nil
}

// stale reports whether an older version of the adapter is in use, which the server replaces only after its runs.
func (s *Scheduler) stale(ticket *Request) bool {
	found := s.held[ticket.Adapter]

	return found != nil && found.version > 0 && found.version < ticket.MinVersion && found.users > 0 && !found.loading
}

func (s *Scheduler) room(now time.Time, ticket *Request) bool {
	if !s.reported || s.reading >= s.policy().MaxPrefills || s.running >= s.limits.Slots {
		return false
	}

	if s.running > 0 && s.memory+ticket.InputTokens+ticket.MaxOutputTokens > s.limits.MemoryTokens {
		return false
	}

	s.starts = slices.DeleteFunc(s.starts, func(at time.Time) bool { return now.Sub(at) > rateWindow })

	return s.limits.StartsPerSecond <= 0 || len(s.starts) < s.limits.StartsPerSecond
}

// present reports whether the server holds what the request needs.
func (s *Scheduler) present(ticket *Request) bool {
	if ticket.Adapter.Name == "" {
		return s.holds(ticket.Adapter.Model)
	}

	found := s.held[ticket.Adapter]

	return found != nil && !found.loading && !found.leaving && found.version > 0 && found.version >= ticket.MinVersion
}

func (s *Scheduler) holds(model string) bool {
	return slices.ContainsFunc(s.report.Models, func(loaded LoadedModel) bool { return loaded.Name == model })
}

func (s *Scheduler) start(now time.Time, ticket *Request) {
	s.queue = slices.DeleteFunc(s.queue, func(other *Request) bool { return other == ticket })
	s.starts = append(s.starts, now)
	s.running++
	s.reading++
	s.prompts += ticket.InputTokens
	s.memory += ticket.InputTokens + ticket.MaxOutputTokens
	ticket.phase = reading

	invariant.Check(s.running <= max(s.limits.Slots, 1), "schedule.slots", "%d requests run on %d slots", s.running, s.limits.Slots)
	invariant.Check(s.reading <= s.policy().MaxPrefills, "schedule.readers", "%d prompts are read at once", s.reading)
	invariant.Check(s.limits.StartsPerSecond <= 0 || len(s.starts) <= s.limits.StartsPerSecond, "schedule.rate", "%d requests start in %s", len(s.starts), rateWindow)
	invariant.Check(s.present(ticket), "schedule.present", "adapter %s is not there", ticket.Adapter.Name)

	if found := s.held[ticket.Adapter]; found != nil {
		found.users++
		found.used = now
		s.recent[ticket.Adapter] = now
	}
}

// Wake returns the next moment at which waiting alone changes a decision.
func (s *Scheduler) NextWakeup() (time.Time, bool) {
	var next time.Time

	for _, ticket := range s.queue {
		if next.IsZero() || ticket.Expires.Before(next) {
			next = ticket.Expires
		}
	}

	if len(s.queue) > 0 && len(s.starts) > 0 && s.reading < s.policy().MaxPrefills {
		if free := s.starts[0].Add(rateWindow); free.Before(next) {
			next = free
		}
	}

	return next, !next.IsZero()
}
