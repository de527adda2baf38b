package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// Guards against a stream that stays at a server until that ends, is moved long before or without an end, and against other requests that are moved.
func TestUntilMove(t *testing.T) {
	leaving := fleet.Server{ID: "a", Service: "s", Version: "v1", Draining: true, Remaining: 8 * time.Second}

	cases := map[string]struct {
		policy catalog.RetryPolicy
		plain  bool
		server fleet.Server
		known  bool
	}{
		"leaves":                 {policy: catalog.Resumable, server: leaving, known: true},
		"drains without an end":  {policy: catalog.Resumable, server: fleet.Server{ID: "a", Service: "s", Draining: true}},
		"serves":                 {policy: catalog.Resumable, server: fleet.Server{ID: "a", Service: "s", Remaining: 8 * time.Second}},
		"may run once":           {policy: catalog.AtMostOnce, server: leaving},
		"server without agent":   {policy: catalog.Resumable, plain: true, server: leaving},
		"another process leaves": {policy: catalog.Resumable, server: fleet.Server{ID: "a", Service: "s", Draining: true, Remaining: time.Second, StartedAt: 7}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := testEntry(nil)
			e.Fleet.Put(silentServer)
			e.Fleet.Put(c.server)

			j := testJob(c.policy)
			if c.plain {
				j.service.Engine = nil
			}

			j.sink = &bodySink{}
			_, watch := e.watchSilence(t.Context(), silentServer, newResponse(e, j, silentServer))

			defer func() { _ = watch.stop() }()

			end, _ := e.Fleet.EndsAt(silentServer)
			left, known := watch.untilMove(end.Add(-5 * time.Second))
			assert.Equal(t, known, c.known)

			if known {
				assert.Equal(t, left, 5*time.Second-moveMargin)
			}
		})
	}
}

// Guards against a stream that loses or repeats events, or pauses, when it is moved: its server goes on until the other one has begun, which sends again
// what came meanwhile. Guards as well against a move to a server that cannot go on with it.
func TestStreamIsMovedOnceAnotherServerHasBegun(t *testing.T) {
	successor := fleet.Server{ID: "b", Service: "s", Version: "v1"}
	piece := func(text string) message.Data { return message.Data{Bytes: []byte(text)} }
	started := head(200, "text/event-stream")

	cases := map[string]struct {
		answer []message.Event
		moved  bool
		runs   int
	}{
		"goes on": {
			answer: []message.Event{message.RequestSent{}, started, piece("id: 1\ndata: b\n\nid: 2\ndata: c\n\n"), message.Completed{}}, moved: true,
		},
		"refused":            {answer: []message.Event{message.Refused{Err: fault.New(fault.Overloaded, "queue")}}},
		"sent, never begins": {answer: []message.Event{message.RequestSent{}, message.Failed{Err: fault.New(fault.BackendFailed, "ended")}}, runs: 1},
		"begins no stream":   {answer: []message.Event{message.RequestSent{}, head(500, "text/plain"), piece("error"), message.Completed{}}, runs: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			e := testEntry(serveAgent(t, &scriptedAgent{events: c.answer}))
			leaving := silentServer
			leaving.Draining, leaving.Remaining = true, moveMargin
			e.Fleet.Put(leaving)

			j := testJob(catalog.Resumable)
			sink := &bodySink{}
			j.sink = sink
			r := newResponse(e, j, silentServer)
			ctx, watch := e.watchSilence(t.Context(), silentServer, r)

			assert.NilError(t, watch.emit(message.RequestSent{}))
			assert.NilError(t, watch.emit(started))
			assert.NilError(t, watch.emit(piece("id: 0\ndata: a\n\n")))

			watch.mu.Lock()
			next := r.afterGivingUp(silentServer)
			// The server goes on after the other one was asked.
			assert.NilError(t, r.handle(piece("id: 1\ndata: b\n\n")))
			watch.ask(next, successor, errServerEnding)
			asked := watch.asked
			watch.observe(time.Now(), piece("id: 1\ndata: b\n\n"))
			watch.mu.Unlock()

			if !c.moved {
				<-asked.ended
				assert.NilError(t, ctx.Err())
				assertNotTakenOver(t, watch, j, c.runs)

				return
			}

			<-ctx.Done()
			assert.ErrorIs(t, watch.stop(), errServerEnding)

			j.splitter.Resume()

			completeAt(t, e, j, successor)
			assert.Equal(t, sink.body, "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n")
		})
	}
}
