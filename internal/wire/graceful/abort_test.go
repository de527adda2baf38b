package graceful_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/graceful"
)

// Guards against a response that the end of the process cuts off and that looks complete to a client of HTTP/1.0.
func TestAbortedResponseIsReset(t *testing.T) {
	for name, version := range map[string]string{"HTTP/1.0": "1.0", "HTTP/1.1": "1.1"} {
		t.Run(name, func(t *testing.T) {
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)

			listener := &graceful.Listener{Listener: raw}
			ended := make(chan struct{})
			server := &http.Server{ConnState: listener.ObserveState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "half")
				_ = http.NewResponseController(w).Flush()
				<-ended
			})}

			go func() { _ = server.Serve(listener) }()

			t.Cleanup(func() {
				close(ended)
				_ = listener.Close()
			})

			client, err := net.Dial("tcp", raw.Addr().String())
			assert.NilError(t, err)

			defer func() { _ = client.Close() }()

			_, err = io.WriteString(client, "GET / HTTP/"+version+"\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)

			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			assert.NilError(t, err)

			defer func() { _ = response.Body.Close() }()

			piece := make([]byte, len("half"))
			_, err = io.ReadFull(response.Body, piece)
			assert.NilError(t, err)

			listener.Abort()

			_, err = io.ReadAll(response.Body)
			assert.Assert(t, err != nil, "the response looks complete")
		})
	}
}

// Guards against a whole response whose end is lost because the process ends before the client has read it.
func TestWholeResponseIsNotAborted(t *testing.T) {
	// responseSize is more than the client's buffer holds.
	const responseSize = 1 << 20

	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	listener := &graceful.Listener{Listener: raw}
	closed := make(chan struct{})
	server := &http.Server{ConnState: func(accepted net.Conn, state http.ConnState) {
		listener.ObserveState(accepted, state)

		if state == http.StateClosed {
			close(closed)
		}
	}, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, responseSize))
	})}
	server.SetKeepAlivesEnabled(false)

	go func() { _ = server.Serve(listener) }()

	t.Cleanup(func() { _ = listener.Close() })

	client, err := net.Dial("tcp", raw.Addr().String())
	assert.NilError(t, err)

	defer func() { _ = client.Close() }()

	assert.NilError(t, client.(*net.TCPConn).SetReadBuffer(64<<10))

	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)

	<-closed
	listener.Abort()

	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	assert.NilError(t, err)

	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), responseSize)
}
