package upstream_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// serveEndless responds to each request with a start and then with the same piece, after a pause each time, until the caller closes
// the connection.
func serveEndless(t *testing.T, start, piece string, pause time.Duration) string {
	t.Helper()

	return listen(t, func(conn *net.TCPConn) { writeEndless(conn, start, piece, pause) })
}

func writeEndless(conn net.Conn, start, piece string, pause time.Duration) {
	defer func() { _ = conn.Close() }()

	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}

	start = strings.ReplaceAll(start, "ID", request.Header.Get("Id"))

	for _, err := conn.Write([]byte(start)); err == nil; _, err = conn.Write([]byte(piece)) {
		time.Sleep(pause)
	}
}

// Guards against memory that grows, and requests that last until their deadline, when a server sends bytes without end in place of
// a response or within one.
func TestEndlessBytes(t *testing.T) {
	const (
		callers = 20
		// growth is the memory that all callers together may hold above that before.
		growth = 32 << 20
		head   = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\n"
	)

	block := strings.Repeat("x", 32<<10)

	cases := map[string]struct {
		start, piece string
		stream       bool
	}{
		"no event stream on a streaming route": {start: head + "\r\n", piece: block, stream: true},
		"no event stream, short lines":         {start: head + "\r\n", piece: strings.Repeat("x\n", 16<<10), stream: true},
		"status line":                          {start: "", piece: block},
		"header line":                          {start: head + "X: ", piece: block},
		"header lines":                         {start: head, piece: strings.Repeat("X: y\r\n", 4<<10)},
		"informational responses":              {start: "", piece: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<10)},
		"chunk size":                           {start: head + "Transfer-Encoding: chunked\r\n\r\n", piece: strings.Repeat("0", 32<<10)},
		"trailer":                              {start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", piece: block},
		"body of a refusal":                    {start: "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\n\r\n", piece: block},
		"body for another":                     {start: "HTTP/1.1 200 OK\r\nId: other\r\nMark: 1\r\n\r\n", piece: block},
		"event":                                {start: head + "Content-Type: text/event-stream\r\n\r\ndata: ", piece: block},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := serveEndless(t, c.start, c.piece, 0)
			before := heapBytes()

			var (
				group sync.WaitGroup
				most  atomic.Uint64
				early atomic.Int64
			)

			for range callers {
				group.Go(func() {
					request := delivery("1")
					request.Deadline = time.Now().Add(20 * time.Second)
					request.ReadTimeout = 0
					request.Stream = c.stream

					_, _ = (&upstream.Client{Codec: codec{}}).Exchange(t.Context(), address, request, func(message.Event) error { return nil })

					most.Store(max(most.Load(), heapBytes()))

					if time.Now().Before(request.Deadline) {
						early.Add(1)
					}
				})
			}

			group.Wait()
			assert.Equal(t, early.Load(), int64(callers), "requests that ended before their deadline")
			assert.Assert(t, most.Load() < before+growth, "%d bytes more", most.Load()-before)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()

	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)

	return live[0].Value.Uint64()
}

// Guards against a stalled stream that never ends because the server sends a byte now and then, and against a slow but sound one
// that is cut.
func TestProgressOfAStreamIsWholeEvents(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\n"

	kinds := map[string]struct {
		head string
		// stream is true if the route of the request streams.
		stream bool
	}{
		"event stream":                  {head: head + "Content-Type: text/event-stream\r\n\r\n", stream: true},
		"event stream on another route": {head: head + "Content-Type: text/event-stream\r\n\r\n"},
		"another type":                  {head: head + "Content-Type: text/html\r\n\r\n", stream: true},
		"no content type":               {head: head + "\r\n", stream: true},
	}

	cases := map[string]struct {
		piece string
		cut   bool
	}{
		"a byte now and then":      {piece: ":", cut: true},
		"a comment now and then":   {piece: ":\n", cut: true},
		"a line end now and then":  {piece: "\n", cut: true},
		"a whole event each time":  {piece: "data: a\n\n"},
		"an event with its return": {piece: "data: a\r\n\r\n"},
	}

	for name, c := range cases {
		for kindName, kind := range kinds {
			t.Run(name+", "+kindName, func(t *testing.T) {
				t.Parallel()

				address := serveEndless(t, kind.head, c.piece, 100*time.Millisecond)

				// The read timeout of delivery is 300 ms.
				ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
				defer cancel()

				request := delivery("1")
				request.Stream = kind.stream

				_, _ = (&upstream.Client{Codec: codec{}}).Exchange(ctx, address, request, func(message.Event) error { return nil })
				assert.Equal(t, ctx.Err() == nil, c.cut)
			})
		}
	}
}

// Guards against log lines, messages to entries and answers to clients that quote all that a server has sent in place of a response.
func TestErrorsQuoteLittleOfWhatAServerHasSent(t *testing.T) {
	garbage := strings.Repeat("x", 48<<10)

	for name, response := range map[string]string{
		"status line": garbage + " y\r\n\r\n", "version": garbage + " 200 OK\r\n\r\n", "status": "HTTP/1.1 " + garbage + "\r\n\r\n",
		"field": "HTTP/1.1 200 OK\r\n" + garbage + "\r\n\r\n", "length": "HTTP/1.1 200 OK\r\nContent-Length: " + garbage + "\r\n\r\n",
		"coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + garbage + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			server := serve(t, response+"<close>")
			_, _, last := exchange(t, &upstream.Client{Codec: codec{}}, server.address, "r1")

			failed, ok := last.(message.Failed)
			assert.Assert(t, ok, "%#v", last)
			assert.Assert(t, len(failed.Err.Error()) < 1<<10, "%d bytes", len(failed.Err.Error()))
		})
	}
}
