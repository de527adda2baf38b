package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// scriptedAgent answers each request with the same events.
type scriptedAgent struct {
	relay.DRPCRelayUnimplementedServer
	events []message.Event
}

func (a *scriptedAgent) Exchange(_ *relay.Request, stream relay.DRPCRelay_ExchangeStream) error {
	for _, event := range a.events {
		if err := stream.Send(convert.EventToWire(event)); err != nil {
			return err
		}
	}

	return nil
}

// serveAgent serves an agent and returns a dialer that connects to it.
func serveAgent(t *testing.T, agent relay.DRPCRelayServer) conn.Dialer {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	go func() {
		_ = conn.Serve(t.Context(), listener, func(mux *drpcmux.Mux) error { return relay.DRPCRegisterRelay(mux, agent) })
	}()

	return func(ctx context.Context, _ string) (net.Conn, error) {
		var dialer net.Dialer

		return dialer.DialContext(ctx, "tcp", listener.Addr().String())
	}
}

// assertNotTakenOver waits until a handover, whose exchange has ended, has ended as well, and checks that the job has none, has run the given
// number of times, and does not ask the server "b" again.
func assertNotTakenOver(t *testing.T, watch *silenceWatch, j *job, runs int) {
	t.Helper()

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		watch.mu.Lock()
		defer watch.mu.Unlock()

		if watch.asked == nil {
			return poll.Success()
		}

		return poll.Continue("the handover is under way")
	})
	assert.NilError(t, watch.stop())
	assert.Assert(t, j.handover == nil)
	assert.Equal(t, j.runs, runs)
	assert.Assert(t, watch.refusedBy["b"])
}

// completeAt takes over the response of a handover, and checks that it is complete.
func completeAt(t *testing.T, e *Entry, j *job, successor fleet.Server) {
	t.Helper()

	outcome := j.takeHandover(successor).receive(t.Context(), newResponse(e, j, successor).handle)
	_, completed := outcome.(message.Completed)
	assert.Assert(t, completed, "%#v", outcome)
}

// Guards against a silent server that is given up for one that refuses the request, or that is kept when another one has begun to run it (LOST).
func TestSilentServerIsGivenUpOnceAnotherRunsTheRequest(t *testing.T) {
	event := message.Data{Bytes: []byte("id: 1\ndata: b\n\n")}
	successor := fleet.Server{ID: "b", Service: "s", Version: "v1"}

	cases := map[string]struct {
		answer []message.Event
		// goesOn is true if the silent server makes an event before the other one answers.
		goesOn     bool
		handedOver bool
		runs       int
	}{
		"refused": {answer: []message.Event{message.Refused{Err: fault.New(fault.Overloaded, "queue")}}},
		"sent": {
			answer:     []message.Event{message.RequestSent{}, head(200, "text/event-stream"), event, message.Completed{}},
			handedOver: true,
		},
		"sent, the silent one goes on": {answer: []message.Event{message.RequestSent{}, event, message.Completed{}}, goesOn: true, runs: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			e := testEntry(serveAgent(t, &scriptedAgent{events: c.answer}))

			j := testJob(catalog.Resumable)
			sink := &bodySink{}
			j.sink = sink
			r := newResponse(e, j, silentServer)
			ctx, watch := e.watchSilence(t.Context(), silentServer, r)

			assert.NilError(t, watch.emit(message.RequestSent{}))
			assert.NilError(t, watch.emit(head(200, "text/event-stream")))
			assert.NilError(t, watch.emit(message.Data{Bytes: []byte("id: 0\ndata: a\n\n")}))

			watch.mu.Lock()
			watch.progressAt = watch.progressAt.Add(-time.Minute)
			next := r.afterGivingUp(silentServer)
			watch.ask(next, successor, errServerSilent)
			asked := watch.asked

			if c.goesOn {
				watch.progressAt = time.Now()
			}

			watch.mu.Unlock()

			if !c.handedOver {
				<-asked.ended
				assert.NilError(t, ctx.Err())
				assertNotTakenOver(t, watch, j, c.runs)

				return
			}

			<-ctx.Done()
			assert.ErrorIs(t, watch.stop(), errServerSilent)

			completeAt(t, e, j, successor)
			assert.Equal(t, sink.body, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n")
		})
	}
}
