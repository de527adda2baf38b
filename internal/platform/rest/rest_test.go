package rest_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// Guards against a response that exhausts memory, and against a limit that truncates the body instead of returning an error.
func TestBodiesAreBounded(t *testing.T) {
	data, err := rest.ReadAll(strings.NewReader("12345"), 5)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "12345")

	_, err = rest.ReadAll(strings.NewReader("123456"), 5)
	assert.Assert(t, errors.Is(err, rest.ErrTooLarge), "%v", err)
}

// Guards against a redirect that sends the request body of a commit a second time.
func TestRedirectsAreNotFollowed(t *testing.T) {
	var calls atomic.Int64

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			http.Redirect(w, r, "/commit", http.StatusTemporaryRedirect)
		}
	}))
	t.Cleanup(server.Close)

	err := rest.JSON(t.Context(), rest.Call{Method: http.MethodPost, URL: server.URL}, "transaction", nil)

	var statusErr *rest.StatusError

	assert.Assert(t, errors.As(err, &statusErr), "%v", err)
	assert.Equal(t, statusErr.Code, http.StatusTemporaryRedirect)
	assert.Equal(t, calls.Load(), int64(1))
}

// Guards against an invalid status that counts as the statement of a server that it has not done what a call asks for.
func TestInvalidStatusStatesNothing(t *testing.T) {
	for name, line := range map[string]string{"000": "HTTP/1.1 000 None", "600": "HTTP/1.1 600 None", "999": "HTTP/1.1 999 None", "protocol": "HTTP/1.1 101 Other"} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if !assert.Check(t, err) {
					return
				}

				_, err = io.WriteString(conn, line+"\r\nContent-Length: 31\r\n\r\n{\"error\":{\"kind\":\"overloaded\"}}")
				assert.Check(t, err)
				assert.Check(t, conn.Close())
			}))
			t.Cleanup(server.Close)

			err := rest.JSON(t.Context(), rest.Call{Method: http.MethodPost, URL: server.URL}, nil, nil)

			var statusErr *rest.StatusError

			assert.Assert(t, err != nil && !errors.As(err, &statusErr), "%v", err)
		})
	}
}

// Guards against a head without end that a call keeps.
func TestHeadWithoutEndIsNotKept(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X", strings.Repeat("x", 4<<20))
	}))
	t.Cleanup(server.Close)

	assert.Assert(t, rest.JSON(t.Context(), rest.Call{Method: http.MethodGet, URL: server.URL}, nil, nil) != nil)
}
