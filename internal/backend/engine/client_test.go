package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// respond returns the stream of a server that responds to every request with the body.
func respond(t *testing.T, body string) engine.Stream {
	t.Helper()

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)

	stream, err := (&engine.Client{URL: server.URL}).Generate(t.Context(), engine.Request{})
	assert.NilError(t, err)

	return stream
}

// Guards against a malformed stream that is read as a complete output, and against comments that are read as events.
func TestStreamFormat(t *testing.T) {
	cases := map[string]struct {
		body string
		text string
		kind fault.Kind
	}{
		"comment":   {": ping\n\ndata: {\"text\":\"a\"}\n\n", "a", ""},
		"no space":  {"data:{\"text\":\"a\"}\n\n", "a", ""},
		"malformed": {"data: {\"text\n\n", "", fault.BackendFailed},
		"too long":  {"data: " + strings.Repeat("x", 2<<20), "", fault.BackendFailed},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			event, err := respond(t, tc.body).Next()
			assert.Equal(t, event.Text, tc.text)
			assert.Equal(t, err == nil, tc.kind == "")
			assert.Assert(t, err == nil || fault.Is(err, tc.kind), "%v", err)
		})
	}
}

// Guards against a reader that keeps waiting for an idle engine after its context is canceled.
func TestContextEndsStream(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)

	ctx, cancel := context.WithCancel(t.Context())

	stream, err := (&engine.Client{URL: server.URL}).Resume(ctx, "req", 0)
	assert.NilError(t, err)
	cancel()

	_, err = stream.Next()
	assert.Assert(t, fault.Is(err, fault.Canceled), "%v", err)
}
