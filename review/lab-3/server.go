//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName = "daka510000"
	// tokensPerMs is how many prompt tokens a model server reads in a millisecond, and adapterTime how long the load of an adapter takes.
	tokensPerMs = 20.4
	adapterTime = 250 * time.Millisecond
)

// run is a request that a server has begun to work on.
type run struct {
	id, server string
	// arrived is when the request reached the server, and begun when it made the first token.
	arrived, begun time.Time
	version        int64
	// first is the id of the first event.
	first int
}

// modelServer is a stand-in of a model server, with the order of PROTOCOL.md: prompts are read one after the other.
type modelServer struct {
	cluster *cluster
	id      string
	number  int
	zone    string
	// software is the version of the server's software.
	software string
	// events is the number of events of a stream, and interval the time between two.
	events   int
	interval time.Duration

	mu       sync.Mutex
	reading  sync.Mutex
	born     int64
	seq      int64
	adapters map[string]int64
	loading  map[string]time.Time
	waiting  map[string]bool
	users    map[string]int
	newest   map[string]int64
	running  int
	runs     []run
	arrivals []run
}

// addModelServer starts a model server and its agent.
func (c *cluster) addModelServer(m *modelServer) error {
	index := len(c.models)
	m.cluster, m.number, m.zone = c, modelNumber+index, zoneOf(index)
	m.id = fmt.Sprintf("i-m%d", m.number)
	m.born = time.Now().UnixMilli()
	m.adapters, m.loading, m.waiting, m.users, m.newest = map[string]int64{}, map[string]time.Time{}, map[string]bool{}, map[string]int{}, map[string]int64{}
	c.models = append(c.models, m)

	if _, err := c.serve(c.address(m.number, serverPort), m); err != nil {
		return err
	}

	go c.beat(m.id, m.row)

	return c.start(m.number, "agent", m.zone)
}

// row returns the row of the server in the list.
func (m *modelServer) row() (map[string]any, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return map[string]any{
		"service": "asistente", "address": m.cluster.address(m.number, serverPort), "zone": m.zone, "version": m.software, "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": m.held(), "seq": m.seq, "born": m.born,
	}, true
}

// held returns the models and adapters that the server holds. The lock must be held.
func (m *modelServer) held() []any {
	m.settle()

	adapters := []string{}
	for name, version := range m.adapters {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}

	return []any{map[string]any{"name": modelName, "version": 1, "adapters": adapters}}
}

// settle completes the loads that are due, and begins the replacements whose adapter is no longer in use. The lock must be held.
func (m *modelServer) settle() {
	now := time.Now()

	for name := range m.waiting {
		if m.users[name] == 0 {
			delete(m.waiting, name)
			delete(m.adapters, name)
			m.loading[name] = now.Add(adapterTime)
		}
	}

	for name, ready := range m.loading {
		if !now.Before(ready) {
			delete(m.loading, name)
			m.adapters[name] = max(m.newest[name], 1)
		}
	}
}

// announce names the newest version of an adapter.
func (m *modelServer) announce(adapter string, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.settle()
	m.newest[adapter] = version
}

func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		misdirect(w, r, m.id)
		return
	}

	switch r.URL.Path {
	case "/report":
		m.report(w)
	case "/order":
		m.order(w, r)
	default:
		m.stream(w, r)
	}
}

// misdirect turns away a request that is meant for another server, or that needs what this one does not hold.
func misdirect(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Instance-Id", id)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func (m *modelServer) report(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()

	models, pending := m.held(), []string{}
	for name := range m.loading {
		pending = append(pending, fmt.Sprintf("%s/%s@%d", modelName, name, max(m.newest[name], 1)))
	}

	for name := range m.waiting {
		pending = append(pending, fmt.Sprintf("%s/%s@%d", modelName, name, max(m.newest[name], 1)))
	}

	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": models, "busy": false, "seq": m.seq, "waiting": 0, "running": m.running, "kvUsed": 0, "kvTotal": 113076, "handles": 0,
		"state": "ready", "pending": pending, "born": m.born,
	})
}

func (m *modelServer) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation, Model, Adapter, Holder string
		Expected, Fence                   *int64
	}

	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.settle()

	if order.Expected != nil && *order.Expected != m.seq {
		w.WriteHeader(http.StatusConflict)
		return
	}

	m.seq++

	switch {
	case order.Operation == "unload" && m.users[order.Adapter] == 0:
		delete(m.adapters, order.Adapter)
		w.WriteHeader(http.StatusOK)
	case order.Operation == "unload":
		w.WriteHeader(http.StatusAccepted)
	case order.Adapter == "":
		w.WriteHeader(http.StatusOK)
	case m.adapters[order.Adapter] > 0:
		m.waiting[order.Adapter] = true
		w.WriteHeader(http.StatusAccepted)
	default:
		m.loading[order.Adapter] = time.Now().Add(adapterTime)
		w.WriteHeader(http.StatusAccepted)
	}
}

// begin enters a request, and returns false if the server does not hold its adapter.
func (m *modelServer) begin(adapter string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.settle()

	if adapter != "" && m.adapters[adapter] == 0 {
		return false
	}

	m.users[adapter]++
	m.running++

	return true
}

func (m *modelServer) end(adapter string) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.users[adapter]--
	m.running--
	m.settle()
}

func (m *modelServer) stream(w http.ResponseWriter, r *http.Request) {
	arrived, id := time.Now(), r.Header.Get("Attempt-Id")
	_, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")

	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}

	if !m.begin(adapter) {
		misdirect(w, r, m.id)
		m.cluster.record.add("server "+m.id, "%s turned away, %s is not held", id, adapter)

		return
	}

	defer m.end(adapter)

	m.mu.Lock()
	m.arrivals = append(m.arrivals, run{id: id, server: m.id, arrived: arrived})
	m.mu.Unlock()
	m.cluster.record.addAt(arrived, "server "+m.id, "%s arrived", id)

	prompt, _, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt)

	m.reading.Lock()
	time.Sleep(time.Duration(float64(tokens) / tokensPerMs * float64(time.Millisecond)))
	m.reading.Unlock()

	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}

	m.mu.Lock()
	version := m.adapters[adapter]
	m.runs = append(m.runs, run{id: id, server: m.id, arrived: arrived, begun: time.Now(), version: version, first: first})
	m.mu.Unlock()
	m.cluster.record.add("server "+m.id, "%s begins with event %d at version %d of %q", id, first, version, adapter)

	w.Header().Set("Weight-Versions", strconv.FormatInt(max(version, 1), 10))
	writeEvents(w, r, first, m.events, m.interval, m.software)
}

// writeEvents sends a stream of events, each with the version of the software that made it.
func writeEvents(w http.ResponseWriter, r *http.Request, first, count int, interval time.Duration, software string) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)

	control := http.NewResponseController(w)

	for i := first; i < count; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, software)

		if control.Flush() != nil {
			return
		}

		select {
		case <-r.Context().Done():
			return
		case <-time.After(interval):
		}
	}
}

// arrivedAfter returns the requests that reached the server after a time.
func (m *modelServer) arrivedAfter(at time.Time) []run {
	m.mu.Lock()
	defer m.mu.Unlock()

	var late []run

	for _, one := range m.arrivals {
		if one.arrived.After(at) {
			late = append(late, one)
		}
	}

	return late
}

func (m *modelServer) allRuns() []run {
	m.mu.Lock()
	defer m.mu.Unlock()

	return append([]run(nil), m.runs...)
}

// plainServer is a stand-in of a server of a service without an engine. It answers streaming routes with events.
type plainServer struct {
	cluster  *cluster
	id       string
	number   int
	zone     string
	software string
	events   int
	interval time.Duration
	born     int64
	// answer replaces the handling of a request; nil for a stream of events.
	answer func(w http.ResponseWriter, r *http.Request)
	// stop ends the server.
	stop func()

	mu       sync.Mutex
	arrivals []run
	// down is true while the server does not run, and coldUntil is when it is no longer cold.
	down      bool
	coldUntil time.Time
	// crashes holds when the server was ended by a request.
	crashes []time.Time
}

// addPlainServer starts a server of the service reservas.
func (c *cluster) addPlainServer(p *plainServer) error {
	index := len(c.plains)
	p.cluster, p.number, p.zone = c, plainNumber+index, zoneOf(index)
	p.id = fmt.Sprintf("i-p%d", p.number)
	p.born = time.Now().UnixMilli()
	c.plains = append(c.plains, p)

	if err := p.serve(); err != nil {
		return err
	}

	go p.beat()

	return nil
}

// serve starts the server.
func (p *plainServer) serve() error {
	stop, err := p.cluster.serve(p.cluster.address(p.number, serverPort), p)
	p.stop = stop

	return err
}

// beat writes the row of the server periodically.
func (p *plainServer) beat() {
	for {
		p.write()

		select {
		case <-p.cluster.ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

// write writes the row of the server unless it is down.
func (p *plainServer) write() {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.down {
		return
	}

	p.cluster.store.Put("servers", p.id, map[string]any{
		"service": "reservas", "address": p.cluster.address(p.number, serverPort), "zone": p.zone, "version": p.software, "slots": 6, "state": "ready",
		"coldRemainingMs": max(time.Until(p.coldUntil).Milliseconds(), 0), "seq": 0, "born": p.born,
	})
}

// currentID returns the id of the server since its last start.
func (p *plainServer) currentID() string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.id
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.currentID() {
		misdirect(w, r, p.currentID())
		return
	}

	arrived, id := time.Now(), r.Header.Get("Attempt-Id")

	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}

	p.mu.Lock()
	p.arrivals = append(p.arrivals, run{id: id, server: p.id, arrived: arrived})
	p.mu.Unlock()
	p.cluster.record.addAt(arrived, "server "+p.currentID(), "%s %s arrived", r.Method, id)

	if p.answer != nil {
		p.answer(w, r)
		return
	}

	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}

	p.mu.Lock()
	software := p.software
	p.mu.Unlock()

	p.cluster.record.add("server "+p.currentID(), "%s begins with event %d at version %s", id, first, software)
	w.Header().Set("Server-Load", "1,0,6")
	writeEvents(w, r, first, p.events, p.interval, software)
}

func (p *plainServer) arrivedBetween(from, to time.Time) []run {
	p.mu.Lock()
	defer p.mu.Unlock()

	var found []run

	for _, one := range p.arrivals {
		if one.arrived.After(from) && one.arrived.Before(to) {
			found = append(found, one)
		}
	}

	return found
}
