package service_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/order"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// closer answers the first call on a connection and closes the connection when it has read the second one. It counts
// the calls that it has read.
type closer struct {
	calls atomic.Int64
}

func (c *closer) serve(t *testing.T) string {
	t.Helper()

	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)

		if c.calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}

		_, _ = io.WriteString(w, "booked")
	}))
	server.Start()
	t.Cleanup(server.Close)

	return server.URL
}

// Guards against net/http repeating a call on a reused connection that the server closes.
func TestCallIsSentOnce(t *testing.T) {
	keep := &http.Client{Transport: &http.Transport{}}
	key := []service.Header{{Name: "Idempotency-Key", Value: "k1"}}
	cases := map[string]struct {
		client  *http.Client
		request service.Request
	}{
		"fresh":               {nil, service.Request{Method: http.MethodPost, Path: "/book", Body: []byte("plate")}},
		"fresh, key":          {nil, service.Request{Method: http.MethodPost, Path: "/book", Headers: key}},
		"kept":                {keep, service.Request{Method: http.MethodPost, Path: "/book", Body: []byte("plate")}},
		"kept, key":           {keep, service.Request{Method: http.MethodPost, Path: "/book", Headers: key, Body: []byte("plate")}},
		"kept, key, no body":  {keep, service.Request{Method: http.MethodPost, Path: "/book", Headers: key}},
		"kept, read, no body": {keep, service.Request{Method: http.MethodGet, Path: "/availability"}},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			counted := &closer{}
			client := &service.Client{URL: counted.serve(t), HTTP: tc.client}

			response, err := client.Call(t.Context(), tc.request)
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "booked")

			_, err = client.Call(t.Context(), tc.request)
			assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
			assert.Equal(t, counted.calls.Load(), int64(2))
		})
	}
}

// Guards against a redirect that turns one call into two.
func TestRedirectIsNotFollowed(t *testing.T) {
	var calls atomic.Int64

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
		}
	}))
	t.Cleanup(server.Close)

	response, err := (&service.Client{URL: server.URL}).Call(t.Context(), service.Request{Method: http.MethodPost, Path: "/book"})
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusSeeOther)
	assert.Equal(t, calls.Load(), int64(1))
}

// refusedURL refuses connections: nothing listens on port 1, and it is never handed out as a free port.
const refusedURL = "http://127.0.0.1:1"

// Guards against a call that was sent being reported as not run, and the reverse.
func TestErrorsTellWhetherAnythingWasSent(t *testing.T) {
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100))
	}))
	t.Cleanup(large.Close)

	lost := &order.Server{}
	lost.Switches.Set(switches.State{LostResponses: 1})

	losing := httptest.NewServer(lost.Handler())
	t.Cleanup(losing.Close)

	ended, cancel := context.WithCancel(t.Context())
	cancel()

	cases := map[string]struct {
		ctx  context.Context
		url  string
		kind fault.Kind
	}{
		"refused":     {t.Context(), refusedURL, fault.NoServer},
		"not sent":    {ended, losing.URL, fault.NoServer},
		"malformed":   {t.Context(), "http://%", fault.NoServer},
		"too large":   {t.Context(), large.URL, fault.OutcomeUnknown},
		"lost answer": {t.Context(), losing.URL, fault.OutcomeUnknown},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			client := &service.Client{URL: tc.url, Limit: 99}

			_, err := client.Call(tc.ctx, service.Request{Method: http.MethodPost, Path: "/book", Body: []byte("plate")})
			assert.Assert(t, fault.Is(err, tc.kind), "%v", err)
		})
	}

	assert.Equal(t, lost.Record().Bookings["plate"], int64(1))
}

// Guards against a call that outlives its context because the service does not answer.
func TestContextEndsTheCall(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())

	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)

	_, err := (&service.Client{URL: server.URL}).Call(ctx, service.Request{Method: http.MethodGet, Path: "/"})
	assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
}
