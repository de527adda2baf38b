package graceful_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/graceful"
)

// Guards against a response whose end is lost because the server closes a connection on which bytes have arrived that it doesn't read.
func TestResponseIsWholeWhenBytesFollowTheRequest(t *testing.T) {
	const (
		request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
		chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		chunk   = "4\r\nbody\r\n"
		// responseSize is more than the client's buffer holds.
		responseSize = 1 << 20
	)

	cases := map[string]struct {
		// later is sent once the request is read.
		sent, later string
		// early is true if the response is sent before the body is read.
		early bool
	}{
		"nothing":            {sent: request},
		"a line end":         {sent: request, later: "\r\n"},
		"a request":          {sent: request, later: request},
		"the rest of a body": {sent: chunked + chunk, later: strings.Repeat(chunk, 1000) + "0\r\n\r\n", early: true},
		"a large body":       {sent: chunked + chunk, later: strings.Repeat(chunk, 100_000) + "0\r\n\r\n", early: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)

			began, ended := make(chan struct{}, 2), make(chan struct{})
			listener := &graceful.Listener{Listener: raw}
			server := &http.Server{ConnState: func(conn net.Conn, state http.ConnState) {
				listener.ObserveState(conn, state)

				if state == http.StateClosed {
					close(ended)
				}
			}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				began <- struct{}{}

				if !c.early {
					_, _ = io.Copy(io.Discard, r.Body)
				}

				time.Sleep(100 * time.Millisecond)

				_, _ = w.Write(make([]byte, responseSize))
			})}

			go func() { _ = server.Serve(listener) }()

			client, err := net.Dial("tcp", raw.Addr().String())
			assert.NilError(t, err)

			assert.NilError(t, client.(*net.TCPConn).SetReadBuffer(64<<10))

			_, err = io.WriteString(client, c.sent)
			assert.NilError(t, err)

			<-began
			server.SetKeepAlivesEnabled(false)

			go func() { _, _ = io.WriteString(client, c.later) }()

			// The client reads nothing until the server has ended the response.
			<-ended
			assert.NilError(t, client.(*net.TCPConn).SetReadBuffer(responseSize))

			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			assert.NilError(t, err)

			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), responseSize)
			assert.NilError(t, response.Body.Close())
			assert.NilError(t, client.Close())

			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()

			listener.Drain(ctx)
			assert.NilError(t, ctx.Err())
		})
	}
}

// countingListener counts the bytes that are read from its connections.
type countingListener struct {
	net.Listener
	read *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return countingConn{accepted.(*net.TCPConn), l.read}, nil
}

type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	c.read.Add(int64(n))

	return n, err
}

// WriteTo implements io.WriterTo by way of Read.
func (c countingConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Guards against a request that crosses the close of its connection and is read without being answered.
func TestRequestThatCrossesTheCloseStaysUnread(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	var (
		read   atomic.Int64
		server *http.Server
	)

	received := make(chan struct{})
	crossed := make(chan struct{})
	listener := &graceful.Listener{Listener: countingListener{raw, &read}}
	server = &http.Server{ConnState: func(conn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			<-crossed
		}

		listener.ObserveState(conn, state)
	}, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The head of this response doesn't tell that the connection will be closed.
		assert.Check(t, http.NewResponseController(w).Flush())
		server.SetKeepAlivesEnabled(false)
	})}

	go func() { _ = server.Serve(listener) }()

	client, err := net.Dial("tcp", raw.Addr().String())
	assert.NilError(t, err)

	defer func() { _ = client.Close() }()

	go func() {
		<-received

		_, _ = io.WriteString(client, request)

		close(crossed)
	}()

	_, err = io.WriteString(client, request)
	assert.NilError(t, err)

	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	assert.NilError(t, err)

	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	// The background read of net/http ends before the connection is taken for idle.
	time.Sleep(50 * time.Millisecond)
	close(received)

	<-crossed
	listener.Wait(t.Context())
	listener.Drain(t.Context())
	assert.Equal(t, read.Load(), int64(len(request)))
}
