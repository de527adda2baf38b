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

// clossy responds to the first call and closes the connection after it has read the second one. It counts the calls
// that it has read.
type clossy struct {
	calls atomic.Int64
}

func (c *clossy) serve(t *testing.T) string {
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

// Guards against net/http retrying a call on a reused connection that the server closes.
func TestCallIsSentOnce(t *testing.T) {
	pooled := &http.Client{Transport: &http.Transport{}}
	key := []service.Header{{Name: "Idempotency-Key", Value: "k1"}}
	cases := map[string]struct {
		client  *http.Client
		request service.Request
	}{
		"unpooled":              {nil, service.Request{Method: http.MethodPost, Path: "/book", Body: []byte("plate")}},
		"unpooled, key":         {nil, service.Request{Method: http.MethodPost, Path: "/book", Headers: key}},
		"pooled":                {pooled, service.Request{Method: http.MethodPost, Path: "/book", Body: []byte("plate")}},
		"pooled, key":           {pooled, service.Request{Method: http.MethodPost, Path: "/book", Headers: key, Body: []byte("plate")}},
		"pooled, key, no body":  {pooled, service.Request{Method: http.MethodPost, Path: "/book", Headers: key}},
		"pooled, read, no body": {pooled, service.Request{Method: http.MethodGet, Path: "/availability"}},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := &clossy{}
			client := &service.Client{URL: server.serve(t), HTTP: tc.client}

			response, err := client.Call(t.Context(), tc.request)
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "booked")

			_, err = client.Call(t.Context(), tc.request)
			assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
			assert.Equal(t, server.calls.Load(), int64(2))
		})
	}
}

// Guards against following a redirect, which would send a second call.
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

// refusedURL is an address that refuses connections: nothing listens on port 1, and it is never assigned as a free port.
const refusedURL = "http://127.0.0.1:1"

// Guards against reporting a call that was sent as not run, and the reverse.
func TestErrorsTellWhetherAnythingWasSent(t *testing.T) {
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100))
	}))
	t.Cleanup(large.Close)

	orders := &order.Server{}
	orders.Switches.Set(switches.State{LostResponses: 1})

	lossy := httptest.NewServer(orders.Handler())
	t.Cleanup(lossy.Close)

	canceled, cancel := context.WithCancel(t.Context())
	cancel()

	cases := map[string]struct {
		ctx  context.Context
		url  string
		kind fault.Kind
	}{
		"refused":       {t.Context(), refusedURL, fault.NoServer},
		"not sent":      {canceled, lossy.URL, fault.NoServer},
		"malformed":     {t.Context(), "http://%", fault.NoServer},
		"too large":     {t.Context(), large.URL, fault.OutcomeUnknown},
		"lost response": {t.Context(), lossy.URL, fault.OutcomeUnknown},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			client := &service.Client{URL: tc.url, Limit: 99}

			_, err := client.Call(tc.ctx, service.Request{Method: http.MethodPost, Path: "/book", Body: []byte("plate")})
			assert.Assert(t, fault.Is(err, tc.kind), "%v", err)
		})
	}

	assert.Equal(t, orders.Record().Bookings["plate"], int64(1))
}

// Guards against a call that continues after its context is canceled because the service does not respond.
func TestContextEndsCall(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())

	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)

	_, err := (&service.Client{URL: server.URL}).Call(ctx, service.Request{Method: http.MethodGet, Path: "/"})
	assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
}
