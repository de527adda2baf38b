package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes and times of a model server of the site pistas-jal.
const (
	placesForAdapters = 17
	adapterLoadTime   = 250 * time.Millisecond
	modelLoadFromDisk = 2400 * time.Millisecond
	eventInterval     = 30 * time.Millisecond
)

// modelServer is a stand-in of a model server. Its exported fields are set before start.
type modelServer struct {
	name    string
	address string
	rec     *record
	store   *store
	// prefill is how long the server reads the prompt of a request; it reads one at a time.
	prefill time.Duration
	// events is the number of events of a stream.
	events int
	// badPart ends the server when it begins to write an answer on it; empty for none.
	badPart string
	// endless has the server answer with a head that names no stream and with bytes that never end.
	endless func() bool
	// downTime is how long the server is gone after it has ended.
	downTime time.Duration
	// lateOrder takes orders that get no answer and are carried out later; nil for none.
	lateOrder func(o order) bool

	mu     sync.Mutex
	server *http.Server
	starts int
	born   int64
	seq    int64
	// modelAt is when the model is there, and adapters holds when each adapter is; zero for no model.
	modelAt  time.Time
	adapters map[string]time.Time
	known    map[string]bool
	running  int
	// reading is held while the server reads a prompt.
	reading sync.Mutex
	// reached holds the requests that reached the server, and ends when it ended.
	reached []arrival
	ends    []time.Time
	// overfull is true once the server was ordered to load more adapters than it has places for.
	overfull bool
}

// arrival is a request that has reached the server.
type arrival struct {
	id, part string
	at       time.Time
}

// order is an order to load or unload.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fence"`
}

// id is the id of the current incarnation.
func (m *modelServer) id() string {
	return "i-" + m.name + "-" + strconv.Itoa(m.starts)
}

// start starts an incarnation. The first one holds the model; later ones start empty.
func (m *modelServer) start() error {
	listener, err := listen(m.address)
	if err != nil {
		return err
	}

	m.mu.Lock()

	m.starts++
	m.born, m.seq = time.Now().UnixMilli(), 0
	m.adapters = map[string]time.Time{}
	m.modelAt = time.Time{}

	if m.known == nil {
		m.known = map[string]bool{}
	}

	if m.starts == 1 {
		m.modelAt = time.Now()
	}

	m.server = &http.Server{Handler: m}
	server := m.server
	m.mu.Unlock()

	go server.Serve(listener)

	m.write()
	m.rec.add("server %s starts", m.id())

	return nil
}

// write writes the entry of the server to the store.
func (m *modelServer) write() {
	m.store.put("servers", m.id(), map[string]any{
		"service": "asistente", "address": m.address, "zone": "occ-a", "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
		"seq": m.seq, "born": m.born,
	})
}

// end ends the server like a process that crashes. It starts again after downTime, under a new id.
func (m *modelServer) end(cause string) {
	m.mu.Lock()

	server, old := m.server, m.id()
	m.server = nil

	if server != nil {
		m.ends = append(m.ends, time.Now())
	}
	m.mu.Unlock()

	if server == nil {
		return
	}

	m.rec.add("server %s ends: %s", old, cause)
	_ = server.Close()

	if m.downTime == 0 {
		return
	}

	time.AfterFunc(m.downTime, func() {
		m.store.remove("servers", old)

		if err := m.start(); err != nil {
			m.rec.add("server %s could not start again: %v", m.name, err)
		}
	})
}

func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		m.report(w)
	case "/order":
		m.order(w, r)
	default:
		m.request(w, r)
	}
}

func (m *modelServer) report(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()

	models, pending := []any{}, []string{}
	adapters := []string{}
	now := time.Now()

	for name, at := range m.adapters {
		if at.After(now) {
			pending = append(pending, "m0/"+name+"@1")
		} else {
			adapters = append(adapters, name+"@1")
		}
	}

	there := !m.modelAt.IsZero() && !m.modelAt.After(now)
	if there {
		models = append(models, map[string]any{"name": "m0", "version": 1, "adapters": adapters})
	}

	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": models, "pending": pending, "busy": !m.modelAt.IsZero() && !there, "seq": m.seq, "born": m.born,
		"waiting": 0, "running": m.running, "kvUsed": 0, "kvTotal": 113076, "handles": 0, "pinned": 0, "held": 0, "state": "ready",
	})
}

func (m *modelServer) order(w http.ResponseWriter, r *http.Request) {
	var o order

	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}

	if m.lateOrder != nil && m.lateOrder(o) {
		// No answer: the call hangs until its sender gives up.
		<-r.Context().Done()
		return
	}

	w.WriteHeader(m.carryOut(o))
}

// carryOut carries out an order and returns the status of its answer.
func (m *modelServer) carryOut(o order) int {
	m.mu.Lock()

	now := time.Now()
	status := http.StatusAccepted
	_, held := m.adapters[o.Adapter]

	switch {
	case o.Expected != nil && *o.Expected != m.seq:
		status = http.StatusConflict
	case o.Adapter == "" && o.Operation == "load" && !m.modelAt.IsZero(), o.Operation == "load" && held:
		status = http.StatusOK
	case o.Adapter == "" && o.Operation == "load":
		m.seq++
		m.modelAt = now.Add(modelLoadFromDisk)
	case o.Operation == "load":
		m.seq++

		took := adapterLoadTime
		if m.known[o.Adapter] {
			took /= 10
		}

		m.known[o.Adapter] = true
		m.adapters[o.Adapter] = now.Add(took)
	default:
		m.seq++
		status = http.StatusOK

		delete(m.adapters, o.Adapter)
	}

	expected := int64(-1)
	if o.Expected != nil {
		expected = *o.Expected
	}

	count := len(m.adapters)
	over := count > placesForAdapters
	m.overfull = m.overfull || over
	m.rec.add("server %s: order %s %s/%s, expected %d, from %s: %d; holds %d adapters, seq %d", m.id(), o.Operation, o.Model, o.Adapter, expected, o.Holder, status, count, m.seq)
	m.mu.Unlock()

	if over {
		go m.end(fmt.Sprintf("it was ordered to load %d adapters and has %d places", count, placesForAdapters))
	}

	return status
}

// request serves a request with a stream of events.
func (m *modelServer) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	_, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")

	m.mu.Lock()

	at, held := m.adapters[adapter]
	there := !m.modelAt.IsZero() && !m.modelAt.After(time.Now())
	wrong := r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != m.id()

	if wrong || !there || adapter != "" && (!held || at.After(time.Now())) {
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Instance-Id", m.id())
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		m.rec.add("server %s turns %s away with 421", m.id(), id)
		m.mu.Unlock()

		return
	}

	part := m.part(r)
	m.reached = append(m.reached, arrival{id: id, part: part, at: time.Now()})
	m.running++
	self := m.id()
	m.mu.Unlock()

	m.rec.add("server %s gets %s (%s)", self, id, r.URL.Path)

	defer func() {
		m.mu.Lock()
		m.running--
		m.mu.Unlock()
	}()

	m.reading.Lock()
	time.Sleep(m.prefill)
	m.reading.Unlock()

	if r.Context().Err() != nil {
		return
	}

	if m.endless != nil && m.endless() {
		m.sendEndless(w, r, id)
		return
	}

	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}

	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)

	control := http.NewResponseController(w)

	for n := first; n < m.events; n++ {
		if n > first {
			time.Sleep(eventInterval)
		}

		if r.Context().Err() != nil {
			return
		}

		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)

		if control.Flush() != nil {
			return
		}

		if part != "" {
			// The server has begun to write its answer.
			m.end("it has begun to write an answer on the part " + part)
			return
		}
	}
}

// sendEndless answers with bytes that are no answer, until the caller closes.
func (m *modelServer) sendEndless(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header()["Content-Type"] = nil
	w.WriteHeader(http.StatusOK)

	noise := bytes.Repeat([]byte{0xa5}, 64<<10)
	sent := 0

	for r.Context().Err() == nil {
		n, err := w.Write(noise)
		sent += n

		if err != nil {
			break
		}
	}

	m.rec.add("server %s has sent %d MB without end for %s", m.id(), sent>>20, id)
}

// part returns the bad part of a prompt; empty if it has none. The last part never counts.
func (m *modelServer) part(r *http.Request) string {
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")

	for _, pair := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(pair, ":"); m.badPart != "" && name == m.badPart {
			return name
		}
	}

	return ""
}

// addModelServer starts a model server with its agent on a machine.
func (l *lab) addModelServer(number int, set func(m *modelServer)) (*modelServer, error) {
	m := &modelServer{
		name: strconv.Itoa(number), address: net.JoinHostPort(l.ip(number), strconv.Itoa(serverPort)), rec: l.rec, store: l.store,
		prefill: 80 * time.Millisecond, events: 20, downTime: 2 * time.Second,
	}

	set(m)

	if err := m.start(); err != nil {
		return nil, err
	}

	return m, l.startAgent(number)
}

// generation returns a request to a streaming route.
func generation(path, adapter, prefix string, budget time.Duration) attempt {
	model := "m0"
	if adapter != "" {
		model += "/" + adapter
	}

	return attempt{
		method: "POST", path: path, key: "key-a", budget: budget, body: "a prompt",
		header: map[string]string{"Model": model, "Token-Count": "1460,80", "Prompt-Prefix": prefix},
	}
}
