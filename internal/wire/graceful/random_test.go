package graceful_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/graceful"
)

var (
	firstStopSeed = flag.Uint64("graceful.first", 1, "first seed of TestRandomStops")
	stopSeedCount = flag.Int("graceful.seeds", 8, "number of seeds of TestRandomStops")
)

const (
	// stopClients is the number of connections that are open at the same time for a seed.
	stopClients = 60
	// stopTimeout bounds a drain and the calls of clients, so that a connection that is never closed fails the test.
	stopTimeout = 20 * time.Second
	// maxStall is the longest pause at a random point.
	maxStall = 4 * time.Millisecond
	// maxLife is the longest time between the start of a server and its stop.
	maxLife = 60 * time.Millisecond
)

// source draws from a seeded source that several goroutines share.
type source struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSource(seed uint64) *source {
	return &source{random: rand.New(rand.NewPCG(seed, 0))}
}

func (s *source) below(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.random.IntN(n)
}

func (s *source) duration(limit time.Duration) time.Duration {
	return time.Duration(s.below(int(limit)))
}

// stall does nothing, yields, or sleeps.
func (s *source) stall() {
	switch s.below(8) {
	case 0, 1:
		runtime.Gosched()
	case 2:
		time.Sleep(s.duration(maxStall))
	}
}

// unsteadyListener stalls at random points of its connections, below and above the graceful listener.
type unsteadyListener struct {
	net.Listener
	source *source
}

func (l unsteadyListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	l.source.stall()

	return &unsteadyConn{accepted, l.source}, nil
}

type unsteadyConn struct {
	net.Conn
	source *source
}

func (c *unsteadyConn) Read(buffer []byte) (int, error) {
	c.source.stall()

	n, err := c.Conn.Read(buffer)

	c.source.stall()

	return n, err
}

func (c *unsteadyConn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)

	c.source.stall()

	return err
}

func (c *unsteadyConn) Close() error {
	c.source.stall()

	return c.Conn.Close()
}

// stopRecord is what a server ran and what its clients received.
type stopRecord struct {
	mu           sync.Mutex
	ran, answers map[string]bool
}

func (r *stopRecord) note(set map[string]bool, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	set[id] = true
}

// lost returns the requests that ran and have no whole response.
func (r *stopRecord) lost() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	var lost []string

	for id := range r.ran {
		if !r.answers[id] {
			lost = append(lost, id)
		}
	}

	return lost
}

// Guards against a request that is run and has no whole response, whenever its server stops and wherever that stands still (LOST).
func TestRandomStops(t *testing.T) {
	ran := 0

	for seed := *firstStopSeed; seed < *firstStopSeed+uint64(*stopSeedCount); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { ran += testRandomStop(t, newSource(seed)) })
	}

	assert.Assert(t, ran > 0)
}

// testRandomStop returns the number of requests that ran. With an early stop there may be none.
func testRandomStop(t *testing.T, random *source) int {
	t.Helper()

	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	record := &stopRecord{ran: map[string]bool{}, answers: map[string]bool{}}
	listener := &graceful.Listener{Listener: unsteadyListener{raw, random}, HeaderTimeout: time.Second}
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		IdleTimeout:       stopTimeout,
		ConnState: func(conn net.Conn, state http.ConnState) {
			random.stall()
			listener.ObserveState(conn.(*unsteadyConn).Conn, state)
			random.stall()
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}

			record.note(record.ran, r.Header.Get("Id"))
			random.stall()

			_, _ = w.Write([]byte(strings.Repeat(string(body)+".", 1+random.below(2000))))
		}),
	}

	go func() { _ = server.Serve(unsteadyListener{listener, random}) }()

	var clients sync.WaitGroup

	for i := range stopClients {
		clients.Go(func() { record.keepCalling(raw.Addr().String(), i, random) })
	}

	time.Sleep(random.duration(maxLife))

	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
	defer cancel()

	server.SetKeepAlivesEnabled(false)
	time.Sleep(random.duration(maxLife))
	listener.Drain(ctx)
	assert.NilError(t, ctx.Err(), "connections stay open")
	assert.NilError(t, server.Shutdown(ctx))
	clients.Wait()

	if lost := record.lost(); len(lost) > 0 {
		t.Errorf("%d of %d requests ran without a response: %v", len(lost), len(record.ran), lost)
	}

	return len(record.ran)
}

// keepCalling sends requests on one connection after the other, each until the server closes it, until the server takes no connections.
func (r *stopRecord) keepCalling(address string, client int, random *source) {
	for i := 0; ; i++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}

		_ = conn.SetDeadline(time.Now().Add(stopTimeout))
		r.useConnection(conn, fmt.Sprintf("%d.%d", client, i), random)
		_ = conn.Close()
	}
}

func (r *stopRecord) useConnection(conn net.Conn, name string, random *source) {
	responses := bufio.NewReader(conn)

	for i := 0; ; i++ {
		ids := []string{fmt.Sprintf("%s.%d", name, i)}
		if random.below(4) == 0 {
			ids = append(ids, ids[0]+"p")
		}

		time.Sleep(random.duration(2 * maxStall))

		// A client that cannot send all of a request still reads what the server has sent.
		sent := make(chan struct{})

		go func() {
			defer close(sent)
			sendInParts(conn, ids, random)
		}()

		for _, id := range ids {
			if !readResponse(responses) {
				<-sent
				return
			}

			r.note(r.answers, id)
		}

		<-sent
	}
}

// sendInParts sends one request for each id at once, in a random form and in parts.
func sendInParts(conn net.Conn, ids []string, random *source) {
	var all strings.Builder

	for _, id := range ids {
		fmt.Fprintf(&all, []string{
			"GET / HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody",
			"POST / HTTP/1.1\r\nHost: h\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
		}[random.below(3)], id)
	}

	rest := all.String()
	for len(rest) > 0 {
		size := len(rest)
		if random.below(2) == 0 {
			size = 1 + random.below(len(rest))
		}

		if _, err := io.WriteString(conn, rest[:size]); err != nil {
			return
		}

		rest = rest[size:]

		random.stall()
	}
}
