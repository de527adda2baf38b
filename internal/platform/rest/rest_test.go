package rest_test

import (
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
