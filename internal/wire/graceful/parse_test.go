package graceful_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/trial/pipe"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/graceful"
)

const (
	testHeaderTimeout = 20 * time.Second
	testIdleTimeout   = time.Minute
	// newConnectionAge is longer than the age up to which net/http takes a connection without a request for a new one, in whole seconds.
	newConnectionAge = 7 * time.Second
)

// parsingServer serves connections and calls functions at moments that net/http doesn't show.
type parsingServer struct {
	http.Server
	listener *graceful.Listener
	dialer   *pipe.Listener
	// wrap changes the listener below the graceful one; may be nil.
	wrap func(net.Listener) net.Listener
	// onParsed is called when the head of a request has been parsed and the connection isn't yet taken for active.
	onParsed func()
	// afterRead is called when bytes have been read from the connection and the graceful listener doesn't know of them yet.
	afterRead func()
	// onClose is called before a connection is closed.
	onClose func()
	served  atomic.Int64
}

func (s *parsingServer) Accept() (net.Conn, error) {
	accepted, err := s.listener.Accept()
	if err != nil {
		return nil, err
	}

	return &parsingConn{Conn: accepted, server: s}, nil
}

func (s *parsingServer) Close() error   { return s.listener.Close() }
func (s *parsingServer) Addr() net.Addr { return s.listener.Addr() }

func (s *parsingServer) observe(accepted net.Conn, state http.ConnState) {
	c := accepted.(*parsingConn)
	c.inactive.Store(state == http.StateNew || state == http.StateIdle)
	s.listener.ObserveState(c.Conn, state)
}

func (s *parsingServer) start(t *testing.T) {
	t.Helper()

	if s.afterRead == nil {
		s.afterRead = func() {}
	}

	s.dialer = pipe.New()

	var raw net.Listener = hookedListener{s.dialer, s.afterRead}
	if s.wrap != nil {
		raw = s.wrap(raw)
	}

	s.listener = &graceful.Listener{Listener: raw, HeaderTimeout: testHeaderTimeout}
	s.ConnState, s.ReadHeaderTimeout, s.IdleTimeout = s.observe, testHeaderTimeout, testIdleTimeout

	go func() { _ = s.Serve(s) }()

	t.Cleanup(func() {
		_ = s.dialer.Close()
		// All goroutines of the bubble have to end first.
		time.Sleep(testIdleTimeout)
	})
}

func (s *parsingServer) dial(t *testing.T) net.Conn {
	t.Helper()

	client, err := s.dialer.Dial(t.Context())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })

	return client
}

// serveEcho counts the request and answers with its body.
func (s *parsingServer) serveEcho(w http.ResponseWriter, r *http.Request) {
	s.served.Add(1)

	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}

	_, _ = w.Write(append(body, '.'))
}

type parsingConn struct {
	net.Conn
	server   *parsingServer
	inactive atomic.Bool
}

// SetReadDeadline implements net.Conn. net/http clears the deadline of the head once it is parsed.
func (c *parsingConn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)

	if deadline.IsZero() && c.inactive.Load() && c.server.onParsed != nil {
		c.server.onParsed()
	}

	return err
}

func (c *parsingConn) Close() error {
	if c.server.onClose != nil {
		c.server.onClose()
	}

	return c.Conn.Close()
}

// requestForms are requests in the forms in which a body is sent.
var requestForms = map[string][]string{
	"no body":             {"GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
	"body with a length":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"},
	"body in chunks":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	"head in parts":       {"GET / HT", "TP/1.1\r\nHost: h\r\n\r\n"},
	"body later":          {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "bo", "dy"},
	"body later, chunked": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbo", "dy\r\n0\r\n\r\n"},
}

// send writes the parts of a request, and stops when the connection is closed.
func send(conn net.Conn, parts []string) {
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}

		time.Sleep(time.Second)
	}
}

func readResponse(responses *bufio.Reader) bool {
	response, err := http.ReadResponse(responses, nil)
	if err != nil {
		return false
	}

	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()

	return err == nil
}

// Guards against a request that is run and whose connection is closed without a response, because the server stops between the end of the
// parsing of its head and the moment at which net/http takes the connection for active (LOST at SIGTERM).
func TestRequestParsedWhileIdleConnectionsAreClosed(t *testing.T) {
	connections := map[string]struct {
		// before is sent, and answered, before the request at which the server stops.
		before    string
		pipelined bool
	}{
		"new":       {},
		"kept":      {before: "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		"pipelined": {before: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", pipelined: true},
	}

	// Once Shutdown is called, net/http drops a request that it reads, so that no response follows and it must not run.
	stops := map[string]func(server *http.Server){
		"keep-alives end": func(server *http.Server) { server.SetKeepAlivesEnabled(false) },
		"shutdown":        func(server *http.Server) { go func() { _ = server.Shutdown(context.Background()) }(); synctest.Wait() },
	}

	for connection, c := range connections {
		for form, parts := range requestForms {
			for stop, end := range stops {
				t.Run(connection+", "+form+", "+stop, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						server := &parsingServer{}
						server.Handler = http.HandlerFunc(server.serveEcho)
						begun := map[bool]int64{false: 0, true: 1}[c.before != ""]
						server.onParsed = func() {
							if server.served.Load() == begun {
								end(&server.Server)
							}
						}
						server.start(t)

						client := server.dial(t)

						requests := parts
						if c.pipelined {
							requests = append([]string{c.before + parts[0]}, parts[1:]...)
						}

						go func() {
							if c.before != "" && !c.pipelined {
								send(client, []string{c.before})
							}

							time.Sleep(newConnectionAge)
							send(client, requests)
						}()

						responses, answered := bufio.NewReader(client), int64(0)
						for readResponse(responses) {
							answered++
						}

						server.listener.Wait(t.Context())
						assert.Equal(t, answered, server.served.Load())

						if stop == "keep-alives end" {
							assert.Equal(t, answered, begun+1)
						}
					})
				})
			}
		}
	}
}

// Guards against a close of an active connection by a stop that found it idle just before its request was read.
func TestLateCloseOfAnIdleConnection(t *testing.T) {
	for form, parts := range requestForms {
		t.Run(form, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &parsingServer{}
				begun := make(chan struct{})
				once := sync.OnceFunc(func() { close(begun) })
				server.onClose = func() { <-begun }
				server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					server.serveEcho(w, r)

					if server.served.Load() == 2 {
						once()
						time.Sleep(time.Second)
					}
				})
				server.start(t)

				client := server.dial(t)

				responses := bufio.NewReader(client)
				sent := make(chan struct{})

				go func() {
					defer close(sent)
					send(client, []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"})
				}()

				assert.Assert(t, readResponse(responses))
				<-sent

				go server.SetKeepAlivesEnabled(false)

				synctest.Wait()

				go send(client, parts)

				assert.Assert(t, readResponse(responses))
				server.listener.Wait(t.Context())
			})
		})
	}
}

// Guards against a connection that stays open with a part of a head after its server has stopped.
func TestPartOfAHeadEndsWithTheHeaderTimeout(t *testing.T) {
	before := map[string][]string{"new": nil, "kept": {"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}}
	parts := map[string]string{"one byte": "G", "three bytes": "GET", "half a head": "GET / HTTP/1.1\r\nHo"}

	for connection, first := range before {
		for name, part := range parts {
			for _, during := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, during a read %t", connection, name, during), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						var stopped time.Time

						server := &parsingServer{}
						server.Handler = http.HandlerFunc(server.serveEcho)
						end := sync.OnceFunc(func() {
							stopped = time.Now()
							server.SetKeepAlivesEnabled(false)
						})
						started := time.Now()
						server.afterRead = func() {
							if during && time.Since(started) >= newConnectionAge {
								end()
							}
						}
						server.start(t)

						client := server.dial(t)
						responses := bufio.NewReader(client)

						go send(client, first)

						if len(first) > 0 {
							assert.Assert(t, readResponse(responses))
						}

						time.Sleep(newConnectionAge)

						go send(client, []string{part})

						synctest.Wait()
						end()

						// net/http refuses a first line that ends early with 400, and closes other connections in silence.
						_, err := io.Copy(io.Discard, responses)
						assert.NilError(t, err)
						assert.Assert(t, time.Since(stopped) <= testHeaderTimeout, "closed after %s", time.Since(stopped))
					})
				})
			}
		}
	}
}
