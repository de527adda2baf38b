package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// serveUnframed responds to each call with a stream of events that has neither a length nor chunks.
func serveUnframed(t *testing.T, body string) string {
	t.Helper()

	return serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+body)
}

// serveRaw responds to each call with the given bytes and closes the connection.
func serveRaw(t *testing.T, response string) string {
	t.Helper()

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)

		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}

		_, err = io.WriteString(conn, response)
		assert.Check(t, err)
		assert.Check(t, conn.Close())
	}))
	t.Cleanup(server.Close)

	return server.URL
}

// Guards against a stream of a plain service that counts as complete although the service ended in the middle of an event.
func TestUnframedStreamOfAPlainServiceThatEndsInsideAnEvent(t *testing.T) {
	cases := map[string]struct {
		body     string
		complete bool
	}{
		"whole events":    {body: "data: a\n\ndata: b\n\n", complete: true},
		"inside an event": {body: "data: a\n\nda"},
		"no event":        {body: ""},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := &service.Client{URL: serveUnframed(t, c.body)}
			_, err := client.Call(t.Context(), service.Request{Method: http.MethodPost, Path: "/book"})
			assert.Equal(t, err == nil, c.complete, "%v", err)
			assert.Assert(t, err == nil || fault.Is(err, fault.OutcomeUnknown), "%v", err)
		})
	}
}
