package service_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Guards against an invalid status that reaches the caller as the answer of a plain service, or ends the handler of its request.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for name, line := range map[string]string{
		"000": "HTTP/1.1 000 None", "below 100": "HTTP/1.1 099 None", "600": "HTTP/1.1 600 None", "999": "HTTP/1.1 999 None", "protocol": "HTTP/1.1 101 Other",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			client := &service.Client{URL: serveRaw(t, line+"\r\nContent-Length: 2\r\n\r\n{}")}

			_, err := client.Call(t.Context(), service.Request{Method: http.MethodPost, Path: "/book"})
			assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
		})
	}
}

// Guards against a head without end of a plain service that its caller keeps.
func TestHeadWithoutEndIsNotKept(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X", strings.Repeat("x", 4<<20))
	}))
	t.Cleanup(server.Close)

	_, err := (&service.Client{URL: server.URL}).Call(t.Context(), service.Request{Method: http.MethodPost, Path: "/book"})
	assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
}
