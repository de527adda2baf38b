package entry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/loopback"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// silentServer is the server of the requests of these tests.
var silentServer = fleet.Server{ID: "a", Service: "s", Version: "v1"}

// plainEntry returns an entry with silentServer and other servers of a plain service, and a request under way that was sent to silentServer.
func plainEntry(policy catalog.RetryPolicy, others ...fleet.Server) (*Entry, *response) {
	e := testEntry(nil)
	e.Fleet.Put(silentServer)
	e.Fleet.Put(others...)

	j := testJob(policy)
	j.service.Engine = nil
	j.sink = &bodySink{}

	return e, &response{entry: e, job: j, server: silentServer}
}

// Guards against a server that is given up for its silence although no other one can take the request over (LOST).
func TestServerThatCanTakeOver(t *testing.T) {
	begin := func(_ *Entry, j *job) {
		j.responseStarted, j.eventStream, j.bound = true, true, true
		j.begin = origin.Begin{Server: "a", Version: "v1", Known: true}
	}

	cases := map[string]struct {
		policy  catalog.RetryPolicy
		others  []fleet.Server
		prepare func(e *Entry, j *job)
		want    bool
	}{
		"another server":            {policy: catalog.Idempotent, others: []fleet.Server{{ID: "b", Service: "s"}}, want: true},
		"no other":                  {policy: catalog.Idempotent},
		"of another service":        {policy: catalog.Idempotent, others: []fleet.Server{{ID: "b", Service: "other"}}},
		"the other one leaves":      {policy: catalog.Idempotent, others: []fleet.Server{{ID: "b", Service: "s", Draining: true}}},
		"the other one had failed":  {policy: catalog.Idempotent, others: []fleet.Server{{ID: "b", Service: "s"}}, prepare: func(_ *Entry, j *job) { j.excluded["b"] = true }},
		"no further attempt":        {policy: catalog.Idempotent, others: []fleet.Server{{ID: "b", Service: "s"}}, prepare: func(_ *Entry, j *job) { j.runs = 1 }},
		"no retry left":             {policy: catalog.Idempotent, others: []fleet.Server{{ID: "b", Service: "s"}}, prepare: func(e *Entry, _ *job) { e.Bounds.RetryExtra = 0 }},
		"trial of the quarantine":   {policy: catalog.Idempotent, others: []fleet.Server{{ID: "b", Service: "s"}}, prepare: func(_ *Entry, j *job) { j.tried = "part" }},
		"may run once":              {policy: catalog.AtMostOnce, others: []fleet.Server{{ID: "b", Service: "s"}}},
		"stream of the version":     {policy: catalog.Resumable, others: []fleet.Server{{ID: "b", Service: "s", Version: "v1"}}, prepare: begin, want: true},
		"stream of another version": {policy: catalog.Resumable, others: []fleet.Server{{ID: "b", Service: "s", Version: "v2"}}, prepare: begin},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e, r := plainEntry(c.policy, c.others...)

			if c.prepare != nil {
				c.prepare(e, r.job)
			}

			successor, err := e.findSuccessor(t.Context(), r.afterGivingUp(silentServer))
			assert.Equal(t, err == nil, c.want, "%v", err)
			assert.Equal(t, successor.ID == "b", c.want)
			assert.Assert(t, !r.job.excluded["a"], "the server is not given up yet")
			assert.Equal(t, len(e.retryBudget.window("s").retries), 0)
		})
	}
}

// Guards against a silent server that is given up before another one can take over, or is kept when one can, and against bytes without a whole
// event that count as progress.
func TestSilentServerIsGivenUpOnceAnotherCanTakeOver(t *testing.T) {
	event := message.Data{Bytes: []byte("id: 0\ndata: a\n\n")}
	part := message.Data{Bytes: []byte("id")}

	cases := map[string]struct {
		// joinsAfter is when another server joins; 0 for never. pieces arrive each second, after the head.
		joinsAfter time.Duration
		pieces     []message.Data
		want       time.Duration
	}{
		"no other server":                {},
		"another server":                 {joinsAfter: time.Millisecond, want: 1500 * time.Millisecond},
		"another server joins":           {joinsAfter: 4 * time.Second, want: 4 * time.Second},
		"events":                         {joinsAfter: time.Millisecond, pieces: []message.Data{event, event, event}, want: 4500 * time.Millisecond},
		"bytes, no whole event":          {joinsAfter: time.Millisecond, pieces: []message.Data{part, part, part}, want: 1500 * time.Millisecond},
		"events before the server joins": {joinsAfter: 2500 * time.Millisecond, pieces: []message.Data{event}, want: 2500 * time.Millisecond},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, r := plainEntry(catalog.Resumable)
				begunAt := time.Now()
				ctx, watch := e.watchSilence(t.Context(), silentServer, r)

				if c.joinsAfter > 0 {
					time.AfterFunc(c.joinsAfter, func() { e.Fleet.Put(fleet.Server{ID: "b", Service: "s", Version: "v1"}) })
				}

				assert.NilError(t, watch.emit(message.RequestSent{}))
				assert.NilError(t, watch.emit(head(200, "text/event-stream")))

				for _, piece := range c.pieces {
					time.Sleep(time.Second)

					if ctx.Err() != nil {
						assert.Assert(t, watch.emit(piece) != nil, "the server is given up, and its event is passed on")
						break
					}

					assert.NilError(t, watch.emit(piece))
				}

				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Second):
				}

				gaveUpAfter := time.Since(begunAt)
				_ = watch.stop()

				if c.want == 0 {
					assert.Assert(t, !errors.Is(context.Cause(ctx), errServerSilent))
					assert.Assert(t, r.job.successor == nil)

					return
				}

				assert.ErrorIs(t, context.Cause(ctx), errServerSilent)
				assert.Equal(t, r.job.successor.ID, "b")
				assert.Assert(t, gaveUpAfter >= c.want && gaveUpAfter <= max(c.want, time.Duration(len(c.pieces))*time.Second)+takeoverPeriod, "after %s", gaveUpAfter)
				assert.Equal(t, len(e.retryBudget.window("s").retries), 1)
			})
		})
	}
}

// slowSink takes a while to pass a piece on to its client.
type slowSink struct {
	bodySink
	delay time.Duration
}

func (s *slowSink) Write(data []byte) error {
	time.Sleep(s.delay)

	return s.bodySink.Write(data)
}

// Guards against a server that is given up because its client reads slowly.
func TestSlowClientIsNoSilenceOfTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, r := plainEntry(catalog.Resumable, fleet.Server{ID: "b", Service: "s", Version: "v1"})
		r.job.sink = &slowSink{delay: 2 * time.Second}

		ctx, watch := e.watchSilence(t.Context(), silentServer, r)
		defer func() { _ = watch.stop() }()

		assert.NilError(t, watch.emit(message.RequestSent{}))
		assert.NilError(t, watch.emit(head(200, "text/event-stream")))

		for range 3 {
			assert.NilError(t, watch.emit(message.Data{Bytes: []byte("data: a\n\n")}))
			time.Sleep(time.Second)
			assert.NilError(t, ctx.Err())
		}
	})
}

// pausingAgent sends nothing for a while, as an agent that stands still, and then the response of its server.
type pausingAgent struct {
	relay.DRPCRelayUnimplementedServer
	pause time.Duration
}

func (a *pausingAgent) Exchange(_ *relay.Request, stream relay.DRPCRelay_ExchangeStream) error {
	time.Sleep(a.pause)

	for _, event := range []message.Event{message.RequestSent{}, head(200, "text/event-stream"), message.Data{Bytes: []byte("id: 0\ndata: a\n\n")}, message.Completed{}} {
		if err := stream.Send(convert.EventToWire(event)); err != nil {
			return err
		}
	}

	return nil
}

// Guards against a response that is ended because its agent stood still for a moment, although no other server can run the request (LOST).
func TestAgentThatStandsStillIsKeptWhileNoOtherCanTakeOver(t *testing.T) {
	for name, policy := range map[string]catalog.RetryPolicy{"resumable": catalog.Resumable, "at most once": catalog.AtMostOnce} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			e := testEntry(serveAgent(t, &pausingAgent{pause: 2 * time.Second}))
			e.Fleet.Put(silentServer)

			j := testJob(policy)
			j.sink = &bodySink{}

			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()

			outcome := e.send(ctx, j, silentServer)
			_, completed := outcome.(message.Completed)
			assert.Assert(t, completed, "%#v", outcome)
		})
	}
}

// Guards against a stream that ends because the server for which a silent one was given up refuses it, although the silent one goes on (LOST).
func TestRequestReturnsToTheSilentServer(t *testing.T) {
	other := fleet.Server{ID: "b", Service: "s", Version: "v1"}

	cases := map[string]struct {
		prepare func(e *Entry, j *job)
		want    string
	}{
		"another server may take over": {func(*Entry, *job) {}, "b"},
		"it refuses":                   {func(_ *Entry, j *job) { j.excluded["b"] = true }, "a"},
		"two of them refuse":           {func(_ *Entry, j *job) { j.refusals, j.excluded["b"] = maxTakeoverRefusals, true }, "a"},
		"the silent one starts anew": {func(e *Entry, j *job) {
			j.excluded["b"] = true
			e.Fleet.Put(fleet.Server{ID: "a", Service: "s", Version: "v1", StartedAt: 5})
		}, ""},
		"it failed before": {func(_ *Entry, j *job) { j.gaveUp, j.excluded["b"] = nil, true }, ""},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e, r := plainEntry(catalog.Resumable, other)
			r.job.gaveUp = &silentServer
			r.job.excluded["a"] = true
			c.prepare(e, r.job)

			server, err := e.next(t.Context(), r.job)
			assert.Equal(t, server.ID, c.want)
			assert.Equal(t, err == nil, c.want != "")
		})
	}
}

// Guards against a refusal that counts the silent server out, or lets the one that refused be chosen again.
func TestRefusalToTakeOver(t *testing.T) {
	e, r := plainEntry(catalog.Resumable, fleet.Server{ID: "b", Service: "s"})
	j := r.job
	j.successor, j.gaveUp = &fleet.Server{ID: "b", Service: "s"}, &silentServer

	assert.Assert(t, e.afterFailure(t.Context(), j, silentServer, message.Failed{Err: fault.New(fault.OutcomeUnknown, "silent")}))

	server, err := e.next(t.Context(), j)
	assert.Assert(t, err == nil, "%v", err)
	assert.Equal(t, server.ID, "b")
	assert.Assert(t, j.maxWait() <= maxTakeoverWait)

	assert.Assert(t, e.afterRefusal(t.Context(), j, server, message.Refused{Err: fault.New(fault.Overloaded, "queue")}))

	server, err = e.next(t.Context(), j)
	assert.Assert(t, err == nil, "%v", err)
	assert.Equal(t, server.ID, "a")
	assert.Assert(t, j.maxWait() > maxTakeoverWait)
}

// Guards against a stream whose first event arrives as its silent server is given up, and that goes on at a server of another version (ORDER).
func TestEventOfAServerThatIsGivenUpIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, r := plainEntry(catalog.Resumable, fleet.Server{ID: "b", Service: "s", Version: "v2"})
		ctx, watch := e.watchSilence(t.Context(), silentServer, r)

		assert.NilError(t, watch.emit(message.RequestSent{}))
		<-ctx.Done()

		assert.ErrorIs(t, watch.emit(head(200, "text/event-stream")), errServerSilent)
		assert.ErrorIs(t, watch.stop(), errServerSilent)
		assert.Assert(t, e.afterFailure(t.Context(), r.job, silentServer, message.Failed{Err: fault.New(fault.OutcomeUnknown, "silent")}))

		next, refused := e.next(t.Context(), r.job)
		assert.Assert(t, refused == nil, "%v", refused)
		assert.Equal(t, next.ID, "b")
		assert.Assert(t, !r.job.bound && !r.job.responseStarted, "the client has a part of the stream of the server that was given up")
	})
}

// bareCodec sends no headers and reads none.
type bareCodec struct{}

func (bareCodec) Encode(*message.Delivery, time.Duration) []message.Header { return nil }

func (bareCodec) Decode(status int, _ http.Header) upstream.ResponseInfo {
	return upstream.ResponseInfo{Head: message.Head{Status: status}}
}

// Guards against a data race between the look for another server and the handling of a connection that was closed.
func TestLookBesideAClosedConnection(t *testing.T) {
	listener := loopback.Listen(t, loopback.AnyPort, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 4096))

		time.Sleep(400 * time.Millisecond)

		_ = conn.Close()
	})

	server := fleet.Server{ID: "a", Service: "s", Address: listener.Addr().String()}
	e := testEntry(nil)
	e.Fleet.Put(server)
	e.PlainClient = &upstream.Client{Codec: bareCodec{}}

	j := testJob(catalog.Idempotent)
	j.service.Engine = nil
	j.route.Objective = 50 * time.Millisecond
	j.sink = &bodySink{}

	_, failed := e.send(t.Context(), j, server).(message.Failed)
	assert.Assert(t, failed)
}
