package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// plainServer is a stand-in of a server of the service reservas. It speaks HTTP/1.1 on its own, so that a case can send what a faulty
// server sends. Its fields up to extraShare are set before start.
type plainServer struct {
	name    string
	zone    string
	address string
	slots   int
	work    time.Duration
	rec     *record
	store   *store
	// extraShare is the share of the answers that the server sends a second time, late, at the point where the next response on the
	// channel is expected; 0 for a sound server.
	extraShare float64

	mu       sync.Mutex
	starts   int
	born     int64
	lastBeat time.Time
	listener net.Listener
	channels map[net.Conn]bool
	running  int
	// faulty is true while the server sends extra answers.
	faulty bool
	// runs counts the runs by Attempt-Id.
	runs map[string]int
	// tenants holds the tenant of each run.
	tenants map[string]string
}

// id is the id of the current incarnation.
func (p *plainServer) id() string {
	return "i-" + p.name + "-" + strconv.Itoa(p.starts)
}

// start starts an incarnation under a new id.
func (p *plainServer) start() error {
	listener, err := listen(p.address)
	if err != nil {
		return err
	}

	p.mu.Lock()
	p.starts++
	p.born = time.Now().UnixMilli()
	p.listener, p.channels = listener, map[net.Conn]bool{}

	if p.runs == nil {
		p.runs, p.tenants = map[string]int{}, map[string]string{}
	}

	id := p.id()
	p.mu.Unlock()

	p.rec.add("server %s starts", id)

	go p.beat(listener, id)
	go p.accept(listener, id)

	return nil
}

// beat writes the entry of the server to the store every ping interval until the server ends. Three intervals after the last one, the
// store has removed it.
func (p *plainServer) beat(listener net.Listener, id string) {
	for {
		p.mu.Lock()
		alive, born := p.listener == listener, p.born
		p.mu.Unlock()

		if !alive {
			break
		}

		p.store.put("servers", id, map[string]any{
			"service": "reservas", "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": "ready",
			"coldRemainingMs": 0, "seq": 0, "born": born,
		})
		time.Sleep(pingInterval)
	}

	// The last entry was written between one and two intervals ago.
	time.Sleep(2 * pingInterval)
	p.store.remove("servers", id)
	p.rec.add("the entry of server %s is removed", id)
}

// crash ends the server like a process that crashes: all its channels end.
func (p *plainServer) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.rec.add("server %s crashes", p.id())
	_ = p.listener.Close()
	p.listener = nil

	for channel := range p.channels {
		_ = channel.Close()
	}
}

func (p *plainServer) setFaulty(faulty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.faulty = faulty
}

func (p *plainServer) accept(listener net.Listener, id string) {
	for {
		channel, err := listener.Accept()
		if err != nil {
			return
		}

		p.mu.Lock()
		p.channels[channel] = true
		p.mu.Unlock()

		go p.serve(channel, id)
	}
}

// serve serves one request after the other on a channel.
func (p *plainServer) serve(channel net.Conn, self string) {
	defer channel.Close()

	reader := bufio.NewReader(channel)
	late := ""

	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}

		id := request.Header.Get("Attempt-Id")

		if late != "" {
			p.rec.add("server %s sends its last answer on the channel once more, where the response to %s is expected", self, id)
			_, _ = io.WriteString(channel, late)
		}

		answer := ""

		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != self {
			p.rec.add("server %s turns %s away with 421: it is meant for %s", self, id, expected)
			answer = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, self)
		} else {
			p.run(self, id, request.Header.Get("Tenant"))
			answer = p.done(id, body)
		}

		if _, err := io.WriteString(channel, answer); err != nil {
			return
		}

		late = ""
		if p.sendsExtra() {
			late = answer
		}
	}
}

func (p *plainServer) sendsExtra() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.faulty && rand.Float64() < p.extraShare
}

// run runs a request.
func (p *plainServer) run(self, id, tenant string) {
	p.mu.Lock()
	p.running++
	p.runs[id]++
	p.tenants[id] = tenant
	p.mu.Unlock()

	p.rec.add("server %s runs %s", self, id)
	time.Sleep(p.work)

	p.mu.Lock()
	defer p.mu.Unlock()

	p.running--
}

// done returns the answer to a request that has run.
func (p *plainServer) done(id string, body []byte) string {
	p.mu.Lock()
	defer p.mu.Unlock()

	text := "done: " + id + " " + string(body)

	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nServer-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s", id, id, p.running, p.slots, len(text), text)
}

func (p *plainServer) ran(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.runs[id]
}

// addPlainServer starts a server of the service reservas in a zone.
func (l *lab) addPlainServer(number int, zone string) (*plainServer, error) {
	p := &plainServer{
		name: strconv.Itoa(number), zone: zone, address: l.address(number, serverPort), slots: 6, work: 15 * time.Millisecond, rec: l.rec, store: l.store,
	}

	return p, p.start()
}
