package connlimit_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/connlimit"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/graceful"
)

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// testServer serves HTTP behind a Listener, and behind a graceful.Listener on top of it.
type testServer struct {
	limited *connlimit.Listener
	address string
	// block holds the requests for /block until it is closed.
	block chan struct{}
	// blocked receives one value for each request for /block that is served.
	blocked chan struct{}
	refused atomic.Int64
}

func newTestServer(t *testing.T, maxConns int, budget *memory.Budget, idle time.Duration) *testServer {
	t.Helper()

	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	s := &testServer{address: raw.Addr().String(), block: make(chan struct{}), blocked: make(chan struct{}, 1)}
	s.limited = &connlimit.Listener{
		Listener: raw, MaxConns: maxConns, IdleTimeout: func() time.Duration { return idle },
		NewLimit: func() connlimit.Limit {
			head := connlimit.NewHead(budget, func() int64 { return 16 << 10 })
			head.Refusal = func(reason connlimit.Reason) []byte {
				return []byte("HTTP/1.1 431 " + string(reason) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			}

			return head
		},
		OnRefuse: func(connlimit.Reason) { s.refused.Add(1) },
	}
	kept := &graceful.Listener{Listener: s.limited}
	server := &http.Server{ConnState: kept.ObserveState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/block" {
			s.blocked <- struct{}{}
			<-s.block
		}

		_, _ = io.Copy(w, r.Body)
	})}

	go func() { _ = server.Serve(kept) }()

	t.Cleanup(func() {
		_ = server.Close()
		kept.Abort()
	})

	return s
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()

	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })

	return conn
}

// ask sends a request and returns the status; 0 if there is no response.
func ask(conn net.Conn, text string) int {
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))

	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}

	return readStatus(conn)
}

func readStatus(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}

	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()

	return response.StatusCode
}

// Guards against new connections that are kept out by those that send nothing, and against kept and busy connections that are closed for
// new ones.
func TestConnectionsThatSendNothingYield(t *testing.T) {
	s := newTestServer(t, 4, nil, time.Minute)
	kept, busy := s.dial(t), s.dial(t)

	assert.Equal(t, ask(kept, request), http.StatusOK)

	answered := make(chan int, 1)

	go func() { answered <- ask(busy, "GET /block HTTP/1.1\r\nHost: a\r\n\r\n") }()

	<-s.blocked

	for range 20 {
		_, _ = io.WriteString(s.dial(t), "GET / HT")
	}

	assert.Equal(t, ask(s.dial(t), request), http.StatusOK, "a new connection")
	assert.Equal(t, ask(kept, request), http.StatusOK, "the kept connection")
	close(s.block)
	assert.Equal(t, <-answered, http.StatusOK, "the accepted request")
	assert.Assert(t, s.limited.Count() <= 4)
	assert.Assert(t, s.refused.Load() > 0)
}

// Guards against kept connections that yield while their clients may use them, and against those that never yield.
func TestIdleConnectionsYieldOnceTheirClientsLetThemGo(t *testing.T) {
	cases := map[string]struct {
		idle time.Duration
		want int
	}{
		"may be used again": {time.Hour, 0},
		"let go":            {time.Nanosecond, http.StatusOK},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, 2, nil, c.idle)

			for range 2 {
				conn := s.dial(t)
				assert.Equal(t, ask(conn, request), http.StatusOK)
				assert.Equal(t, ask(conn, request), http.StatusOK)
			}

			assert.Equal(t, ask(s.dial(t), request), c.want)
		})
	}
}

// Guards against a refusal that a client does not see, and against a refused client whose connection stays open.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	budget := &memory.Budget{Limit: 1 << 20}
	s := newTestServer(t, 0, budget, time.Minute)

	conn := s.dial(t)
	assert.Equal(t, ask(conn, "GET / HTTP/1.1\r\nX: "+strings.Repeat("a", 20<<10)), http.StatusRequestHeaderFieldsTooLarge)

	// The connection is closed or reset.
	_, err := io.Copy(io.Discard, conn)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded))
	assert.Equal(t, ask(s.dial(t), request), http.StatusOK)
}

// Guards against heads of usual size that are refused while others fill the budget, and against a budget that stays taken.
func TestUsualHeadsNeedNoBudget(t *testing.T) {
	budget := &memory.Budget{Limit: 64 << 10}
	s := newTestServer(t, 0, budget, time.Minute)
	large := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 15<<10)
	conns := make([]net.Conn, 0, 10)

	for range 10 {
		conn := s.dial(t)
		conns = append(conns, conn)
		_, _ = io.WriteString(conn, large)
	}

	for s.refused.Load() == 0 {
		time.Sleep(time.Millisecond)
	}

	assert.Equal(t, ask(s.dial(t), request), http.StatusOK)

	for _, conn := range conns {
		_ = conn.Close()
	}

	for budget.Used() > 0 {
		time.Sleep(time.Millisecond)
	}

	assert.Equal(t, ask(s.dial(t), large+"\r\n\r\n"), http.StatusOK, "a large head in calm")
}
