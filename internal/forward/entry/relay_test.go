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
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
)

func testEntry(dial conn.Dialer) *Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)

	return &Entry{
		Freshness: &freshness.Tracker{}, Links: &link.Links{}, Pool: conn.New(dial), Log: log, Metrics: metrics.NewRegistry(),
		Bounds: Bounds{RetryRatio: 1, RetryExtra: 100, RetryWindow: 10 * time.Second},
	}
}

func testJob(repeat catalog.RetryPolicy) *job {
	request := &message.Request{ID: "r", Method: "POST", Target: "/a/", LastEventID: message.NoEventID, Arrived: time.Now()}
	route := catalog.Route{
		Stream: true, RetryPolicy: repeat, MaxAttempts: 2, Objective: time.Second, Timeout: time.Minute, Targets: []catalog.Target{{Service: "s", Weight: 1}},
	}
	engine := catalog.Service{Name: "s", Engine: &catalog.Engine{}}

	return newJob(request, route, catalog.New(1, nil, []catalog.Service{engine}, nil, catalog.Limits{}))
}

// Guards against a request that counts as run although no connection to the agent was made: it could not go elsewhere.
func TestAgentThatCannotBeDialedHasNotRunTheRequest(t *testing.T) {
	dials := map[string]conn.Dialer{
		"refused": func(context.Context, string) (net.Conn, error) { return nil, errors.New("connection refused") },
		"in time": func(context.Context, string) (net.Conn, error) { return nil, context.DeadlineExceeded },
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

// Guards against a refusal of a request that an agent had received when its connection ended: it may run there.
func TestAgentThatEndsWithoutAWordMayHaveRunTheRequest(t *testing.T) {
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

// Guards against more runs than the route allows, and against a second run where none is allowed.
func TestRunsOfOneRequestAreBounded(t *testing.T) {
	cases := map[string]struct {
		repeat catalog.RetryPolicy
		begun  bool
		ran    int
		want   bool
	}{
		"once":                       {repeat: catalog.AtMostOnce, ran: 1},
		"idempotent":                 {repeat: catalog.Idempotent, ran: 1, want: true},
		"idempotent, twice":          {repeat: catalog.Idempotent, ran: 2},
		"idempotent, answer begun":   {repeat: catalog.Idempotent, ran: 1, begun: true},
		"resumable":                  {repeat: catalog.Resumable, ran: 1, want: true},
		"resumable, answer begun":    {repeat: catalog.Resumable, ran: 1, begun: true, want: true},
		"resumable, begun and twice": {repeat: catalog.Resumable, ran: 2, begun: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := testJob(c.repeat)
			j.ran, j.begun = c.ran, c.begun
			assert.Equal(t, j.repeatable(), c.want)
		})
	}
}

// Guards against requests that wander through the fleet, and against rejections by servers that use up more of the common
// retry budget than this entry's share.
func TestRefusedTriesAreBounded(t *testing.T) {
	cases := map[string]struct {
		arrived bool
		extra   float64
		want    int
	}{
		"refused by agents":                      {want: refusalLimit - 1},
		"rejected by servers":                    {arrived: true, extra: 100, want: refusalLimit - 1},
		"rejected by servers, no budget is left": {arrived: true, want: 0},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := testEntry(nil)
			e.Bounds.RetryRatio, e.Bounds.RetryExtra = 0, c.extra
			j := testJob(catalog.AtMostOnce)
			j.sink = &failedSink{}
			again := 0

			for _, id := range []string{"a", "b", "c", "d", "e"} {
				refused := message.Refused{Err: fault.New(fault.NoServer, "not here"), ByBackend: c.arrived}
				if !e.afterRefusal(t.Context(), j, fleet.Server{ID: id}, refused) {
					break
				}

				again++
			}

			assert.Equal(t, again, c.want)
		})
	}
}

type failedSink struct {
	brokenSink
	err *fault.Error
}

func (f *failedSink) Fail(err *fault.Error) { f.err = err }

// Guards against a refusal that says "not run" after the request may have run at an earlier server.
func TestRefusalAfterARunIsNotNotRun(t *testing.T) {
	e := testEntry(nil)
	j := testJob(catalog.Idempotent)
	sink := &failedSink{}
	j.sink, j.ran = sink, 1

	e.fail(t.Context(), j, fault.New(fault.NoServer, "no server left"))
	assert.Equal(t, sink.err.Kind, fault.OutcomeUnknown)
}

// Guards against an answer that says that a route or key does not exist before the first configuration is known.
func TestNoVerdictWithoutAConfiguration(t *testing.T) {
	e := testEntry(nil)
	sink := &failedSink{}
	e.Serve(t.Context(), &message.Request{ID: "r", Path: "/a/", Arrived: time.Now()}, sink)
	assert.Equal(t, sink.err.Kind, fault.NotReady)
}

// Guards against a configuration that goes back to an older version.
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

// Guards against a second run for a client that has gone: the write fails before the server's request context ends.
func TestNoRepeatForAClientThatHasGone(t *testing.T) {
	e := testEntry(nil)
	j := testJob(catalog.Resumable)
	sink := &brokenSink{}
	j.sink = sink

	passed := &answer{entry: e, job: j}
	assert.NilError(t, passed.take(message.ResponseStarted{Head: message.Head{Status: 200}}))
	assert.Assert(t, passed.take(message.Data{Bytes: []byte("id: 0\ndata: a\n\n")}) != nil)

	failed := message.Failed{Err: fault.New(fault.OutcomeUnknown, "client left")}
	assert.Assert(t, !e.afterFailure(t.Context(), j, fleet.Server{ID: "a"}, failed))
	assert.Assert(t, sink.aborted)
	assert.Assert(t, !e.health.suspect(time.Now(), "a"), "the server did nothing wrong")
}
