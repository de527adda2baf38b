package graceful_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
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
