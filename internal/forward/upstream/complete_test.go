package upstream_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// Guards against a stream that counts as complete although its server ended in the middle of an event or before the first one.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	const (
		head      = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nContent-Type: text/event-stream\r\n"
		unframed  = head + "Connection: close\r\n\r\n"
		eight     = head + "Content-Length: 8\r\n\r\n"
		chunked   = head + "Transfer-Encoding: chunked\r\n\r\n"
		lastChunk = "0\r\n\r\n"
		event     = "data: a\n\n"
	)

	cases := map[string]struct {
		response string
		complete bool
	}{
		"whole events":                     {response: unframed + event + event + "<close>", complete: true},
		"whole events, carriage returns":   {response: unframed + "data: a\r\n\r\n<close>", complete: true},
		"blank lines after the last event": {response: unframed + event + "\n\r\n<close>", complete: true},
		"inside a line":                    {response: unframed + event + "da<close>"},
		"inside the first event":           {response: unframed + "data: a<close>"},
		"after a line":                     {response: unframed + event + "data: a\n<close>"},
		"inside the blank line":            {response: unframed + event + "data: a\r\n\r<close>"},
		"no event":                         {response: unframed + "<close>"},
		"no event, earlier protocol":       {response: "HTTP/1.0 200 OK\r\nId: ID\r\nMark: 1\r\nContent-Type: text/event-stream\r\n\r\n<close>"},
		"length, inside an event":          {response: eight + "data: a\n"},
		"chunks, whole event":              {response: chunked + "9\r\n" + event + "\r\n" + lastChunk, complete: true},
		"chunks, inside an event":          {response: chunked + "2\r\nda\r\n" + lastChunk},
		"chunks, no event":                 {response: chunked + lastChunk, complete: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := serve(t, c.response)
			_, begun, last := exchange(t, &upstream.Client{Codec: codec{}}, server.address, "1")

			assert.Assert(t, begun)

			if c.complete {
				assert.DeepEqual(t, last, message.Event(message.Completed{}))
				return
			}

			failed, ok := last.(message.Failed)
			assert.Assert(t, ok, "%#v", last)
			assert.Assert(t, cmp.Equal(failed.Err.Kind, fault.OutcomeUnknown))
		})
	}
}
