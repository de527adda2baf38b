package graceful_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/graceful"
)

// hookedListener accepts connections whose Read calls a function after it has read bytes, and before it returns them.
type hookedListener struct {
	net.Listener
	afterRead func()
}

func (l hookedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()

	return hookedConn{accepted, l.afterRead}, err
}

type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c hookedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.afterRead()
	}

	return n, err
}

// Guards against a request on an idle kept connection that a server runs and whose connection is closed without a response, because the
// server stops between the arrival of the request and the moment at which net/http takes the connection for active (LOST at SIGTERM).
func TestRequestReadWhileIdleConnectionsAreClosed(t *testing.T) {
	// Once Shutdown is called, net/http drops a request that it reads, so that no response follows and it must not run.
	cases := map[string]struct {
		stop func(server *http.Server)
		want int
	}{
		"keep-alives end": {func(server *http.Server) { server.SetKeepAlivesEnabled(false) }, 2},
		"shutdown":        {func(server *http.Server) { _ = server.Shutdown(context.Background()) }, 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)

			var (
				server *http.Server
				reads  int
				mu     sync.Mutex
				served atomic.Int64
			)

			listener := &graceful.Listener{Listener: hookedListener{raw, func() {
				mu.Lock()
				defer mu.Unlock()

				if reads++; reads == 2 {
					c.stop(server)
				}
			}}}

			server = &http.Server{ConnState: listener.ObserveState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				served.Add(1)
				_, _ = w.Write([]byte("ok"))
			})}
			go func() { _ = server.Serve(listener) }()

			t.Cleanup(func() { _ = server.Close() })

			client, err := net.Dial("tcp", raw.Addr().String())
			assert.NilError(t, err)

			responses := bufio.NewReader(client)

			answered := 0

			for range 2 {
				_, err = client.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
				assert.NilError(t, err)

				response, err := http.ReadResponse(responses, nil)
				if err != nil {
					break
				}

				answered++

				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				// net/http takes the connection for idle after the response.
				time.Sleep(50 * time.Millisecond)
			}

			listener.Wait(t.Context())
			assert.Equal(t, answered, c.want)
			assert.Equal(t, served.Load(), int64(c.want))
		})
	}
}

// Guards against idle connections that stay open, and against a Wait that does not end.
func TestIdleConnectionsAreClosed(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	listener := &graceful.Listener{Listener: raw}
	server := &http.Server{ConnState: listener.ObserveState, Handler: http.NotFoundHandler()}

	go func() { _ = server.Serve(listener) }()

	client, err := net.Dial("tcp", raw.Addr().String())
	assert.NilError(t, err)

	_, err = client.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)

	responses := bufio.NewReader(client)
	response, err := http.ReadResponse(responses, nil)
	assert.NilError(t, err)

	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	time.Sleep(50 * time.Millisecond)

	assert.NilError(t, server.Shutdown(t.Context()))
	listener.Wait(t.Context())

	_, err = responses.ReadByte()
	assert.ErrorContains(t, err, "EOF")
}
