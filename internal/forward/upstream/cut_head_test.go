package upstream_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// Guards against a response that passes for a whole one, or for a refusal, although its server stopped after any byte of its head or body
// (MIXED, ORDER, REFUSED).
func TestResponseThatStopsAfterAnyByteIsNotComplete(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: 1\r\n"
		stream = "Content-Type: text/event-stream\r\n"
		events = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
	)

	cases := map[string]struct {
		response string
		// least is the number of bytes from which on a response that stops cannot be told from a whole one; 0 if all of it is needed.
		least int
	}{
		"one-shot, length":          {response: head + "Content-Length: 4\r\n\r\ngood"},
		"one-shot, chunks":          {response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"},
		"one-shot, neither":         {response: head + "\r\ngood", least: len(head + "\r\n")},
		"one-shot, empty":           {response: head + "Content-Length: 0\r\n\r\n"},
		"stream, length":            {response: head + stream + "Content-Length: 30\r\n\r\n" + events},
		"stream, chunks":            {response: head + stream + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + events + "\r\n0\r\n\r\n"},
		"stream, neither":           {response: head + stream + "\r\n" + events, least: len(head + stream + "\r\n" + events[:15])},
		"bare line feeds":           {response: strings.ReplaceAll(head+"Content-Length: 4\r\n\r\ngood", "\r\n", "\n")},
		"after an interim response": {response: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 4\r\n\r\ngood"},
		"refusal":                   {response: "HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"421":                       {response: "HTTP/1.1 421 Misdirected\r\nId: r1\r\nContent-Length: 0\r\n\r\n"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			least := c.least
			if least == 0 {
				least = len(c.response)
			}

			for sent := range len(c.response) + 1 {
				address := listen(t, func(conn *net.TCPConn) {
					readRequest(conn)
					_, _ = conn.Write([]byte(c.response[:sent]))
					_ = conn.Close()
				})

				d := delivery("r1")
				d.ReadTimeout = 2 * time.Second
				last, _ := (&upstream.Client{Codec: codec{}}).Exchange(t.Context(), address, d, func(message.Event) error { return nil })

				_, failed := last.(message.Failed)

				if sent == len(c.response) {
					assert.Assert(t, !failed, "a whole response: %#v", last)
				} else if !failed {
					assert.Assert(t, sent >= least && mayBeWhole(name, sent, len(c.response)), "%d bytes: %#v", sent, last)
				}
			}
		})
	}
}

// mayBeWhole reports whether a response without framing may pass for a whole one after a number of bytes: one that is no stream anywhere in
// its body, and a stream between two events.
func mayBeWhole(name string, sent, whole int) bool {
	return name == "one-shot, neither" || sent == whole-len("id: 1\ndata: b\n\n")
}
