package upstream_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// Guards against bytes with an invalid status line that pass for a response, hide one in their body, or prove that a request has not
// run, and against reuse of their connection (MIXED, REFUSED).
func TestInvalidStatusLineIsNoResponse(t *testing.T) {
	lines := map[string]string{
		"000":               "HTTP/1.1 000 None",
		"below 100":         "HTTP/1.1 099 None",
		"with a sign":       "HTTP/1.1 +20 None",
		"600":               "HTTP/1.1 600 None",
		"999":               "HTTP/1.1 999 None",
		"other protocol":    "HTTP/1.1 101 Switching Protocols",
		"other version":     "HTTP/2.0 200 OK",
		"no status":         "HTTP/1.1",
		"no number":         "HTTP/1.1 abc None",
		"two digits":        "HTTP/1.1 20 OK",
		"four digits":       "HTTP/1.1 2000 OK",
		"no version":        "200 OK",
		"another protocol":  "ICY 200 OK",
		"negative":          "HTTP/1.1 -20 None",
		"only an empty one": "",
	}

	const fields = "\r\nId: ID\r\nMark: 1\r\n"

	endings := map[string]string{
		"empty":           "Content-Length: 0\r\n\r\n",
		"refusal":         "Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"hidden response": "Content-Length: 64\r\n\r\n" + completeResponse,
	}

	for name, line := range lines {
		for ending, rest := range endings {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()

				server := serve(t, line+fields+rest, completeResponse)
				client := &upstream.Client{Codec: codec{}}

				body, begun, last := exchange(t, client, server.address, "r1")
				assert.Assert(t, !begun && body == "", "a response began")

				failed, ok := last.(message.Failed)
				assert.Assert(t, ok, "%#v", last)
				assert.Equal(t, failed.Err.Kind, fault.OutcomeUnknown)

				_, _, last = exchange(t, client, server.address, "r2")
				assert.Equal(t, last, message.Event(message.Completed{}))
				assert.Equal(t, server.connections.Load(), int64(2), "connections")
			})
		}
	}
}
