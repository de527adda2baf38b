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
	// readRate is the number of prompt tokens that a server reads in a millisecond.
	readRate = 20.4
	// stepTime is the time for a token of each running request, and stepExtra what each further request adds.
	stepTime  = 10100 * time.Microsecond
	stepExtra = 50 * time.Microsecond
	// fetchTime is the time to fetch an adapter from the weight store at full speed, and handTime that for one at hand.
	fetchTime = 250 * time.Millisecond
	handTime  = 25 * time.Millisecond
	// handLimit is the number of adapters that a server keeps at hand.
	handLimit = 100
)

// store is the weight store, which slows down when it delivers many adapters at once.
type store struct {
	full    int
	transit int
	fetched int
}

func (s *store) fetch() time.Duration {
	s.transit++
	s.fetched++

	return fetchTime * time.Duration(max(s.transit, s.full)) / time.Duration(s.full)
}

// server is a model server with the agent beside it.
type server struct {
	id      string
	domain  string
	clock   *clock
	store   *store
	agent   schedule.Scheduler
	calls   map[*schedule.Request]*call
	held    map[schedule.Adapter]bool
	pending []schedule.Adapter
	// hand holds the adapters at hand, the newest last.
	hand   []schedule.Adapter
	orders int64
	// reader is when the prompts that were started are read.
	reader  time.Time
	running map[*call]bool
	gone    bool
	// published is what entries know of the server.
	published schedule.State
}

// add takes a request from an entry.
func (s *server) add(c *call, ticket *schedule.Request) {
	s.calls[ticket] = c
	s.agent.Add(ticket)
	s.advance()
}

// advance carries out what the agent decides now.
func (s *server) advance() {
	for _, action := range s.agent.Dispatch(s.clock.now) {
		switch decided := action.(type) {
		case schedule.Start:
			s.start(decided.Request)
		case schedule.Refuse:
			c := s.calls[decided.Request]
			delete(s.calls, decided.Request)
			c.refused(s, decided.Err)
		}
	}

	for order, ok := s.agent.NextOrder(s.clock.now); ok; order, ok = s.agent.NextOrder(s.clock.now) {
		s.order(order)
	}
}

// start reads the prompt and writes the output of a request.
func (s *server) start(ticket *schedule.Request) {
	c := s.calls[ticket]
	now := s.clock.now
	s.reader = maxTime(s.reader, now).Add(time.Duration(float64(ticket.InputTokens) / readRate * float64(time.Millisecond)))

	// Running requests pause while prompts are read.
	for other := range s.running {
		other.pause = max(other.pause, s.reader.Sub(now))
	}

	s.clock.after(s.reader.Sub(now)+s.step(), func() { s.begin(ticket, c) })
}

func (s *server) step() time.Duration {
	return stepTime + time.Duration(len(s.running))*stepExtra
}

func (s *server) begin(ticket *schedule.Request, c *call) {
	if s.gone {
		return
	}

	c.first = s.clock.now
	s.running[c] = true
	s.agent.OutputStarted(ticket)
	s.advance()
	s.clock.after(time.Duration(ticket.MaxOutputTokens)*s.step(), func() { s.end(ticket, c) })
}

func (s *server) end(ticket *schedule.Request, c *call) {
	if s.gone {
		return
	}

	delete(s.running, c)
	delete(s.calls, ticket)
	s.agent.Remove(ticket)
	c.done()
	s.advance()
}

// order carries out an order of the agent.
func (s *server) order(order schedule.Order) {
	s.orders++
	s.agent.RecordOutcome(s.clock.now, order, schedule.Accepted)

	name := order.Adapter

	if order.Kind == schedule.Unload {
		delete(s.held, name)
		s.keep(name)

		return
	}

	s.pending = append(s.pending, name)

	if at := slices.Index(s.hand, name); at >= 0 {
		s.clock.after(handTime, func() { s.loaded(name) })
		return
	}

	s.clock.after(s.store.fetch(), func() {
		s.store.transit--
		s.loaded(name)
	})
}

func (s *server) loaded(name schedule.Adapter) {
	s.pending = slices.DeleteFunc(s.pending, func(other schedule.Adapter) bool { return other == name })
	s.held[name] = true
	s.keep(name)
	s.observe()
	s.advance()
}

func (s *server) keep(name schedule.Adapter) {
	s.hand = append(slices.DeleteFunc(s.hand, func(other schedule.Adapter) bool { return other == name }), name)

	if len(s.hand) > handLimit {
		s.hand = s.hand[1:]
	}
}

// observe gives the agent a report of the server.
func (s *server) observe() {
	report := schedule.Report{StartedAt: 1, Orders: s.orders, Models: []schedule.LoadedModel{{Name: modelName}}}

	for name := range s.held {
		report.Models[0].Adapters = append(report.Models[0].Adapters, schedule.AdapterVersion{Adapter: name, Version: 1})
	}

	for _, name := range s.pending {
		report.Pending = append(report.Pending, schedule.AdapterVersion{Adapter: name, Version: 1})
	}

	s.agent.Observe(s.clock.now, report)
}

// lose takes the server away with all its requests.
func (s *server) lose() {
	s.gone = true

	lost := slices.Collect(maps.Values(s.calls))
	slices.SortFunc(lost, func(a, b *call) int { return a.number - b.number })

	for _, c := range lost {
		c.lost()
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
