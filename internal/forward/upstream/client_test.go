package upstream_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// codec uses the headers Id, Mark for an authentic response, Not-Run, and Limit for a response that names a limit.
type codec struct{}

func (codec) Encode(delivery *message.Delivery, _ time.Duration) []message.Header {
	return append([]message.Header{{Name: "Id", Value: delivery.ID}}, delivery.Headers...)
}

func (codec) Decode(status int, header http.Header) upstream.ResponseInfo {
	return upstream.ResponseInfo{
		Head: message.Head{Status: status}, ID: header.Get("Id"), Authentic: header.Get("Mark") != "", NotRun: header.Get("Not-Run") != "",
		Misdirected: status == http.StatusMisdirectedRequest, EventStream: header.Get("Content-Type") == "text/event-stream",
		Limit: throttle.Limit{Named: header.Get("Limit") != ""},
	}
}

// scriptedServer sends the next of its responses for each request, and repeats the last one. After a response that ends with
// "<close>", it closes the connection.
type scriptedServer struct {
	address string
	// connections counts the accepted connections, and requests the requests.
	connections atomic.Int64
	requests    atomic.Int64
}

func serve(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()

	s := &scriptedServer{}
	s.address = listen(t, func(conn *net.TCPConn) {
		s.connections.Add(1)
		s.respond(conn, responses)
	})

	return s
}

func (s *scriptedServer) respond(conn net.Conn, responses []string) {
	defer func() { _ = conn.Close() }()

	reader := bufio.NewReader(conn)

	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		_ = request.Body.Close()

		at := min(int(s.requests.Add(1)), len(responses)) - 1
		response, closes := strings.CutSuffix(responses[at], "<close>")
		response = strings.ReplaceAll(response, "ID", request.Header.Get("Id"))

		if _, err := conn.Write([]byte(response)); err != nil || closes {
			return
		}
	}
}

func delivery(id string) *message.Delivery {
	return &message.Delivery{
		Request:     &message.Request{ID: id, Method: http.MethodPost, Target: "/a?b", Host: "h", Body: []byte("body")},
		Deadline:    time.Now().Add(2 * time.Second),
		ReadTimeout: 300 * time.Millisecond,
	}
}

// exchange returns the body, whether the response started, and the last event.
func exchange(t *testing.T, client *upstream.Client, address, id string) (body string, begun bool, last message.Event) {
	t.Helper()

	last, _ = client.Exchange(t.Context(), address, delivery(id), func(event message.Event) error {
		switch e := event.(type) {
		case message.ResponseStarted:
			begun = true
		case message.Data:
			body += string(e.Bytes)
		}

		return nil
	})

	return body, begun, last
}

const completeResponse = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nContent-Length: 4\r\n\r\ngood"

// Guards against responses that are wrongly taken as complete, as belonging to the request, or as proof that it was not run.
func TestAnswers(t *testing.T) {
	cases := map[string]struct {
		response string
		body     string
		want     message.Event
		kind     fault.Kind
	}{
		"complete":                {response: completeResponse, body: "good", want: message.Completed{}},
		"chunked":                 {response: "HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", body: "good", want: message.Completed{}},
		"ends with connection":    {response: "HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nConnection: close\r\n\r\ngood<close>", body: "good", want: message.Completed{}},
		"informational first":     {response: "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse, body: "good", want: message.Completed{}},
		"server error":            {response: "HTTP/1.1 500 No\r\nId: ID\r\nMark: 1\r\nContent-Length: 0\r\n\r\n", want: message.Completed{}},
		"late response first":     {response: strings.Replace(completeResponse, "ID", "earlier", 1) + completeResponse, body: "good", want: message.Completed{}},
		"truncated":               {response: "HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nContent-Length: 9\r\n\r\ngood<close>", body: "good", want: message.Failed{}, kind: fault.OutcomeUnknown},
		"chunks truncated":        {response: "HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n<close>", body: "good", want: message.Failed{}, kind: fault.OutcomeUnknown},
		"timeout in the body":     {response: "HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nContent-Length: 9\r\n\r\ngood", body: "good", want: message.Failed{}, kind: fault.OutcomeUnknown},
		"closed, no response":     {response: "<close>", want: message.Failed{}, kind: fault.OutcomeUnknown},
		"timeout":                 {response: "", want: message.Failed{}, kind: fault.OutcomeUnknown},
		"malformed":               {response: "garbage\r\n\r\n<close>", want: message.Failed{}, kind: fault.OutcomeUnknown},
		"no mark":                 {response: "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\nevil", want: message.Failed{}, kind: fault.BackendFailed},
		"only stray responses":    {response: strings.Replace(completeResponse, "ID", "earlier", 1), want: message.Failed{}, kind: fault.OutcomeUnknown},
		"success without an id":   {response: strings.Replace(completeResponse, "Id: ID\r\n", "", 1), want: message.Failed{}, kind: fault.OutcomeUnknown},
		"full":                    {response: "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", want: message.Refused{}, kind: fault.Overloaded},
		"another server is there": {response: "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", want: message.Refused{}, kind: fault.NoServer},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			server := serve(t, c.response)
			body, _, last := exchange(t, &upstream.Client{Codec: codec{}}, server.address, "r1")
			assert.Equal(t, body, c.body)

			switch want := c.want.(type) {
			case message.Completed:
				assert.Equal(t, last, want)
			case message.Refused:
				got, ok := last.(message.Refused)
				assert.Assert(t, ok, "%#v", last)
				assert.Equal(t, got.Err.Kind, c.kind)
				assert.Assert(t, got.ByBackend)
			case message.Failed:
				got, ok := last.(message.Failed)
				assert.Assert(t, ok, "%#v", last)
				assert.Equal(t, got.Err.Kind, c.kind)
			}

			assert.Equal(t, server.requests.Load(), int64(1), "a request is sent once")
		})
	}
}

// Guards against reuse of a connection that has unexpected bytes, was closed by the server, or was announced to be closed.
func TestConnectionsAreReusedOnlyWhenSound(t *testing.T) {
	cases := map[string]struct {
		response    string
		connections int64
	}{
		"reusable":          {completeResponse, 1},
		"bytes after it":    {completeResponse + "x", 2},
		"second response":   {completeResponse + completeResponse, 2},
		"closed by server":  {completeResponse + "<close>", 2},
		"announced a close": {strings.Replace(completeResponse, "Mark", "Connection: close\r\nMark", 1), 2},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			server := serve(t, c.response)
			client := &upstream.Client{Codec: codec{}}

			for _, id := range []string{"r1", "r2"} {
				body, _, last := exchange(t, client, server.address, id)
				assert.Equal(t, last, message.Event(message.Completed{}))
				assert.Equal(t, body, "good")
				time.Sleep(50 * time.Millisecond)
			}

			assert.Equal(t, server.connections.Load(), c.connections)
		})
	}
}

// Guards against a request body that is truncated or corrupted when the server responds before it has read the body and keeps
// the connection open.
func TestEarlyAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	const size = 1 << 20

	var bodies atomic.Int64

	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}

		reader := bufio.NewReader(conn)

		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}

			// The response is sent before the body is read.
			_, _ = conn.Write([]byte(strings.ReplaceAll(completeResponse, "ID", request.Header.Get("Id"))))

			time.Sleep(100 * time.Millisecond)

			n, _ := bufio.NewReader(request.Body).Discard(size + 1)
			bodies.Add(int64(n))
		}
	}()

	client := &upstream.Client{Codec: codec{}}

	for _, id := range []string{"r1", "r2"} {
		large := delivery(id)
		large.Body = make([]byte, size)

		last, _ := client.Exchange(t.Context(), listener.Addr().String(), large, func(message.Event) error { return nil })
		assert.Equal(t, last, message.Event(message.Completed{}))
	}

	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, bodies.Load(), int64(2*size))
}

// Guards against work for a client that has disconnected: canceling the context closes the connection at once.
func TestCancelClosesTheConnection(t *testing.T) {
	server := serve(t, "")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan message.Event, 1)

	go func() {
		request := delivery("r1")
		request.ReadTimeout = 0
		last, _ := (&upstream.Client{Codec: codec{}}).Exchange(ctx, server.address, request, func(message.Event) error { return nil })
		ended <- last
	}()

	time.Sleep(50 * time.Millisecond)
	cancel()

	select {
	case last := <-ended:
		_, ok := last.(message.Failed)
		assert.Assert(t, ok)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the request continues after the cancellation")
	}
}

// Guards against an unreachable server that is not reported as a refusal, although nothing was sent to it.
func TestUnreachableServerHasNotRunTheRequest(t *testing.T) {
	_, begun, last := exchange(t, &upstream.Client{Codec: codec{}}, "127.0.0.1:1", "r1")
	assert.Assert(t, !begun)

	refused, ok := last.(message.Refused)
	assert.Assert(t, ok)
	assert.Assert(t, !refused.ByBackend)
	assert.Assert(t, cmp.Contains(refused.Err.Error(), "cannot be reached"))
}
