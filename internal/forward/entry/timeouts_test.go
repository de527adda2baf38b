package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// Guards against requests that stay queued after their client has disconnected.
func TestMaxWaitEndsBeforeTheClientDisconnects(t *testing.T) {
	quote := catalog.Route{
		Stream: true, RetryPolicy: catalog.Resumable, Objective: 800 * time.Millisecond, GapTarget: 300 * time.Millisecond, Timeout: 15 * time.Second, MaxAttempts: 2,
	}
	short := quote
	short.Timeout = time.Second
	plain := catalog.Route{RetryPolicy: catalog.Idempotent, Objective: 100 * time.Millisecond, Timeout: time.Second, MaxAttempts: 2}

	cases := map[string]struct {
		route   catalog.Route
		waited  time.Duration
		started bool
		want    time.Duration
	}{
		// The client of the stream disconnects after 4 objectives without an event, which is 3.2 s; the maximum wait is the rest of
		// them less 400 ms for prefill. A response that has started counts as silent for streamReadTimeout, which is 1.5 s.
		"stream":          {quote, 0, false, 2800 * time.Millisecond},
		"stream, waited":  {quote, 2 * time.Second, false, 800 * time.Millisecond},
		"stream, too old": {quote, 5 * time.Second, false, 0},
		"stream, resumed": {quote, 5 * time.Second, true, 1300 * time.Millisecond},
		// The deadline passes before the client disconnects.
		"short timeout": {short, 0, false, 600 * time.Millisecond},
		// A plain request may wait for 0.4 of the time until its deadline.
		"plain": {plain, 0, false, 400 * time.Millisecond},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				request := &message.Request{ID: "r", LastEventID: message.NoEventID, Arrived: time.Now()}
				route := c.route
				route.Targets = []catalog.Target{{Service: "s", Weight: 1}}
				j := newJob(request, route, catalog.New(1, nil, nil, nil, catalog.Limits{}))
				j.responseStarted = c.started
				time.Sleep(c.waited)
				assert.Equal(t, j.maxWait(), c.want)
			})
		})
	}
}

// Guards against a server that sends nothing and keeps a request that another server could run, and against a read timeout
// for a request that may not be retried.
func TestReadTimeout(t *testing.T) {
	cases := map[string]struct {
		policy catalog.RetryPolicy
		runs   int
		want   time.Duration
	}{
		// An idempotent request is retried after 4 objectives; without a further attempt there is no timeout.
		"resumable":                {catalog.Resumable, 0, streamReadTimeout},
		"resumable, last attempt":  {catalog.Resumable, 1, 0},
		"idempotent":               {catalog.Idempotent, 0, 400 * time.Millisecond},
		"idempotent, last attempt": {catalog.Idempotent, 1, 0},
		"at most once":             {catalog.AtMostOnce, 0, 0},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := &job{route: catalog.Route{RetryPolicy: c.policy, Objective: 100 * time.Millisecond, MaxAttempts: 2}, runs: c.runs}
			assert.Equal(t, j.readTimeout(), c.want)
		})
	}
}
