package entry

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
)

func testEntry(dial conn.Dialer) *Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)

	return &Entry{
		Freshness: &freshness.Tracker{}, Links: &link.Links{}, Pool: conn.New(dial), Log: log, Metrics: metrics.NewRegistry(),
		Quarantine: &Quarantine{Log: log, Metrics: metrics.NewRegistry()},
		Bounds:     Bounds{RetryRatio: 1, RetryExtra: 100, RetryWindow: 10 * time.Second},
		Entries:    func() int { return 1 },
		Fleet:      &fleet.Fleet{},
		Origins:    noOrigins{},
		ListAge:    func() (time.Duration, bool) { return 0, true },
		MaxListAge: 2 * time.Second,
	}
}

// noOrigins knows of no stream.
type noOrigins struct{}

func (noOrigins) Find(context.Context, string) (origin.Begin, bool) { return origin.Begin{}, false }
func (noOrigins) Record(string, origin.Begin)                       {}

func testJob(policy catalog.RetryPolicy) *job {
	request := &message.Request{ID: "r", Method: "POST", Target: "/a/", LastEventID: message.NoEventID, Arrived: time.Now()}
	route := catalog.Route{
		Stream: true, RetryPolicy: policy, MaxAttempts: 2, Objective: time.Second, Timeout: time.Minute, Targets: []catalog.Target{{Service: "s", Weight: 1}},
	}
	engine := catalog.Service{Name: "s", Engine: &catalog.Engine{}}

	return newJob(request, route, catalog.New(1, nil, []catalog.Service{engine}, nil, catalog.Limits{}))
}

// Guards against a request that counts as run although no connection to the agent was made: it would not be sent to another
// server.
func TestAgentThatCannotBeDialedHasNotRunTheRequest(t *testing.T) {
	dials := map[string]conn.Dialer{
		"connection refused": func(context.Context, string) (net.Conn, error) { return nil, errors.New("connection refused") },
		"dial timeout":       func(context.Context, string) (net.Conn, error) { return nil, context.DeadlineExceeded },
	}

	for name, dial := range dials {
		t.Run(name, func(t *testing.T) {
			outcome := testEntry(dial).relay(t.Context(), testJob(catalog.AtMostOnce), fleet.Server{ID: "a", Address: "h:1"}, func(message.Event) error { return nil })

			refused, ok := outcome.(message.Refused)
			assert.Assert(t, ok, "%#v", outcome)
			assert.Equal(t, refused.Err.Kind, fault.NoServer)
			assert.Assert(t, !refused.ByBackend)
		})
	}
}

// Guards against a request that counts as refused although the agent had received it before the connection ended: it may
// still run there.
func TestAgentThatEndsWithoutOutcomeMayHaveRunTheRequest(t *testing.T) {
	dial := func(context.Context, string) (net.Conn, error) {
		own, other := net.Pipe()

		go func() {
			_, _ = io.CopyN(io.Discard, other, 64)
			_ = other.Close()
		}()

		return own, nil
	}

	outcome := testEntry(dial).relay(t.Context(), testJob(catalog.AtMostOnce), fleet.Server{ID: "a", Address: "h:1"}, func(message.Event) error { return nil })

	failed, ok := outcome.(message.Failed)
	assert.Assert(t, ok, "%#v", outcome)
	assert.Equal(t, failed.Err.Kind, fault.OutcomeUnknown)
}

// Guards against a request that counts as refused because its agent is paused: its kernel takes the request, which runs once the agent goes
// on (REFUSED).
func TestAgentThatIsPausedMayRunTheRequest(t *testing.T) {
	cases := map[string]func(agent net.Conn){
		"takes the request":  func(agent net.Conn) { _, _ = io.Copy(io.Discard, agent) },
		"takes a part of it": func(agent net.Conn) { _, _ = io.CopyN(io.Discard, agent, 16) },
		"takes nothing":      func(net.Conn) {},
	}

	for name, pause := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			dial := func(context.Context, string) (net.Conn, error) {
				own, agent := net.Pipe()

				go pause(agent)

				return own, nil
			}

			// The deadline of the request.
			ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
			defer cancel()

			outcome := testEntry(dial).relay(ctx, testJob(catalog.AtMostOnce), fleet.Server{ID: "a", Address: "h:1"}, func(message.Event) error { return nil })

			failed, ok := outcome.(message.Failed)
			assert.Assert(t, ok, "%#v", outcome)
			assert.Equal(t, failed.Err.Kind, fault.OutcomeUnknown)
		})
	}
}

// Guards against more runs than the route allows, and against a second run where none is allowed.
func TestRunsOfOneRequestAreBounded(t *testing.T) {
	cases := map[string]struct {
		policy  catalog.RetryPolicy
		started bool
		stream  bool
		runs    int
		want    bool
	}{
		"at most once":              {policy: catalog.AtMostOnce, runs: 1},
		"idempotent":                {policy: catalog.Idempotent, runs: 1, want: true},
		"idempotent, twice":         {policy: catalog.Idempotent, runs: 2},
		"idempotent, started":       {policy: catalog.Idempotent, runs: 1, started: true},
		"resumable":                 {policy: catalog.Resumable, runs: 1, want: true},
		"resumable, started":        {policy: catalog.Resumable, runs: 1, started: true, stream: true, want: true},
		"resumable, started, twice": {policy: catalog.Resumable, runs: 2, started: true, stream: true},
		"resumable, not a stream":   {policy: catalog.Resumable, runs: 1, started: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := testJob(c.policy)
			j.runs, j.responseStarted, j.eventStream = c.runs, c.started, c.stream
			assert.Equal(t, j.retryable(), c.want)
		})
	}
}

// Guards against requests that are sent to one server after the other without a limit, and against retries after rejections
// by backend servers that exceed the share of this entry in the common retry budget.
func TestRefusedTriesAreBounded(t *testing.T) {
	cases := map[string]struct {
		arrived bool
		extra   float64
		want    int
	}{
		"refused by agents":                   {want: maxRefusals - 1},
		"rejected by servers":                 {arrived: true, extra: 100, want: maxRefusals - 1},
		"rejected by servers, no budget left": {arrived: true, want: 0},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := testEntry(nil)
			e.Bounds.RetryRatio, e.Bounds.RetryExtra = 0, c.extra
			j := testJob(catalog.AtMostOnce)
			j.sink = &recordingSink{}
			retries := 0

			for _, id := range []string{"a", "b", "c", "d", "e"} {
				refused := message.Refused{Err: fault.New(fault.NoServer, "not here"), ByBackend: c.arrived}
				if !e.afterRefusal(t.Context(), j, fleet.Server{ID: id}, refused) {
					break
				}

				retries++
			}

			assert.Equal(t, retries, c.want)
		})
	}
}

type recordingSink struct {
	brokenSink
	err *fault.Error
}

func (f *recordingSink) Fail(err *fault.Error) { f.err = err }

// Guards against an error that means "not run" although the request may have run at an earlier server.
func TestRefusalAfterARunReportsUnknownOutcome(t *testing.T) {
	e := testEntry(nil)
	j := testJob(catalog.Idempotent)
	sink := &recordingSink{}
	j.sink, j.runs = sink, 1

	e.fail(t.Context(), j, fault.New(fault.NoServer, "no server left"))
	assert.Equal(t, sink.err.Kind, fault.OutcomeUnknown)
}

// Guards against responses that report an unknown route or key before the first configuration has arrived.
func TestNotReadyWithoutAConfiguration(t *testing.T) {
	e := testEntry(nil)
	sink := &recordingSink{}
	e.Serve(t.Context(), &message.Request{ID: "r", Path: "/a/", Arrived: time.Now()}, sink)
	assert.Equal(t, sink.err.Kind, fault.NotReady)
}

// Guards against an older configuration that replaces a newer one.
func TestOlderConfigurationStaysOutOfForce(t *testing.T) {
	e := testEntry(nil)
	e.Changed = make(chan struct{}, 1)

	for _, version := range []int64{7, 5, 7} {
		e.Apply(catalog.New(version, nil, nil, nil, catalog.Limits{}))
		assert.Equal(t, e.Config().Version, int64(7))
	}
}

type brokenSink struct{ aborted bool }

func (b *brokenSink) Begin(message.Head) error { return nil }
func (b *brokenSink) Write([]byte) error       { return errors.New("broken pipe") }
func (b *brokenSink) Fail(*fault.Error)        {}
func (b *brokenSink) Abort()                   { b.aborted = true }

// Guards against a retry for a client that has disconnected: the write to the client fails before the request context ends.
func TestNoRetryForADisconnectedClient(t *testing.T) {
	e := testEntry(nil)
	j := testJob(catalog.Resumable)
	sink := &brokenSink{}
	j.sink = sink

	a := &response{entry: e, job: j}
	assert.NilError(t, a.handle(message.ResponseStarted{Head: message.Head{Status: 200}}))
	assert.Assert(t, a.handle(message.Data{Bytes: []byte("id: 0\ndata: a\n\n")}) != nil)

	failed := message.Failed{Err: fault.New(fault.OutcomeUnknown, "client disconnected")}
	assert.Assert(t, !e.afterFailure(t.Context(), j, fleet.Server{ID: "a"}, failed))
	assert.Assert(t, sink.aborted)
	assert.Assert(t, !e.health.suspect(time.Now(), "a"), "the server is not at fault")
}
