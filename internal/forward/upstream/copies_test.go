package upstream_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// copier is a faulty server that writes each response on a connection once more, late: before the next response there.
type copier struct {
	// responses are the responses in order; the last one is repeated.
	responses []string
	// copies is the number of late copies, and before is written ahead of them.
	copies int
	before string
	// closes is true if the connection ends after the copies.
	closes bool

	requests    atomic.Int64
	connections atomic.Int64
}

// start returns the address of the server.
func (c *copier) start(t *testing.T) string {
	t.Helper()

	return listen(t, func(conn *net.TCPConn) {
		c.connections.Add(1)
		c.respond(conn)
	})
}

func (c *copier) respond(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	reader := bufio.NewReader(conn)

	for earlier := ""; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		_ = request.Body.Close()

		if earlier != "" {
			_, _ = conn.Write([]byte(c.before + strings.Repeat(earlier, c.copies)))

			if c.closes {
				return
			}
		}

		at := min(int(c.requests.Add(1)), len(c.responses)) - 1
		earlier = strings.ReplaceAll(c.responses[at], "ID", request.Header.Get("Id"))
		_, _ = conn.Write([]byte(earlier))
	}
}

// Guards against a late copy of a refusal that passes for the response to a later request on the connection, which runs: the client is
// told that it was not run (REFUSED), or another server runs it again (TWICE).
func TestLateCopyOfARefusalIsNoOutcomeOfAnotherSend(t *testing.T) {
	const (
		end         = "Limit: 1\r\nContent-Length: 0\r\n\r\n"
		other       = "HTTP/1.1 421 Other\r\nId: ID\r\n" + end
		full        = "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\n" + end
		failed      = "HTTP/1.1 500 No\r\nId: ID\r\nMark: 1\r\n" + end
		fullNoID    = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + end
		otherNoID   = "HTTP/1.1 421 Other\r\n" + end
		earlyHints  = "HTTP/1.1 103 Early Hints\r\n\r\n"
		idleTimeout = "HTTP/1.1 408 Idle\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	)

	cases := map[string]struct {
		server *copier
		ids    []string
		// unknown is true if the outcome of the last request is not known, in place of complete.
		unknown     bool
		connections int64
	}{
		"another server, same request":     {&copier{responses: []string{other, completeResponse}, copies: 1}, []string{"r1", "r1"}, false, 2},
		"full, same request":               {&copier{responses: []string{full, completeResponse}, copies: 1}, []string{"r1", "r1"}, false, 2},
		"failed, same request":             {&copier{responses: []string{failed, completeResponse}, copies: 1}, []string{"r1", "r1"}, false, 2},
		"full, other request":              {&copier{responses: []string{full, completeResponse}, copies: 1}, []string{"r1", "r2"}, false, 1},
		"full, same request later":         {&copier{responses: []string{full, completeResponse}, copies: 1}, []string{"r1", "r2", "r1"}, false, 2},
		"two copies, other request":        {&copier{responses: []string{full, completeResponse}, copies: 2}, []string{"r1", "r2"}, false, 1},
		"informational first":              {&copier{responses: []string{full, completeResponse}, copies: 1, before: earlyHints}, []string{"r1", "r2"}, false, 1},
		"copy at the end, other request":   {&copier{responses: []string{full, completeResponse}, copies: 1, closes: true}, []string{"r1", "r2"}, true, 1},
		"full without id, other request":   {&copier{responses: []string{fullNoID, completeResponse}, copies: 1}, []string{"r1", "r2"}, false, 2},
		"full without id, same request":    {&copier{responses: []string{fullNoID, completeResponse}, copies: 1}, []string{"r1", "r1"}, false, 2},
		"another server, without id":       {&copier{responses: []string{otherNoID, completeResponse}, copies: 1}, []string{"r1", "r2"}, false, 2},
		"another server, no id, later":     {&copier{responses: []string{completeResponse, otherNoID}}, []string{"r1", "r2"}, true, 1},
		"refusal of no request, later":     {&copier{responses: []string{completeResponse}, before: idleTimeout}, []string{"r1", "r2"}, true, 1},
		"success of no request, later":     {&copier{responses: []string{completeResponse}, before: strings.Replace(completeResponse, "Id: ID\r\n", "", 1)}, []string{"r1", "r2"}, false, 1},
		"informational, success, success":  {&copier{responses: []string{completeResponse}, copies: 1, before: earlyHints}, []string{"r1", "r2", "r3"}, false, 1},
		"full on another connection first": {&copier{responses: []string{completeResponse, full, completeResponse}, copies: 1}, []string{"r1", "r2", "r3"}, false, 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			address := c.server.start(t)
			limits := 0
			client := &upstream.Client{Codec: codec{}, OnLimit: func(_ string, _ time.Time, limit throttle.Limit) {
				if limit.Named {
					limits++
				}
			}}

			var last message.Event

			for _, id := range c.ids {
				limits = 0
				_, _, last = exchange(t, client, address, id)
			}

			_, complete := last.(message.Completed)
			_, unknown := last.(message.Failed)

			assert.Check(t, unknown == c.unknown && complete == !c.unknown, "%#v", last)
			assert.Equal(t, c.server.connections.Load(), c.connections)
			assert.Equal(t, limits, 0, "a limit that the copy names was taken for that of this response")
		})
	}
}
