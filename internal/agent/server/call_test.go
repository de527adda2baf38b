package server_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

func (f *fixture) query(attempt string, refuse bool) *rpc.QueryReply {
	client, end := f.client()
	defer end()

	reply, err := client.Query(f.t.Context(), &rpc.QueryRequest{Attempt: attempt, Boot: f.hello.Boot, Refuse: refuse})
	assert.NilError(f.t, err)

	return reply
}

// Guards the normal path of a plain service, and a repeated send against a second run.
func TestCall(t *testing.T) {
	bubble(t, true, func(f *fixture) {
		t := f.t

		for range 2 {
			r := f.run(f.call("r1", "t1"))

			assert.Equal(t, r.kind(), "done")
			assert.Equal(t, r.done.Status, int32(201))
			assert.Equal(t, string(r.done.Body), "t1")
		}

		assert.DeepEqual(t, f.service.calls, map[string]int{"t1": 1})
		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_DONE)
		assert.Equal(t, string(f.query("t1", false).Done.Body), "t1")
	})
}

// Guards callers against a wrong "not run", and against a wrong "may have run".
func TestCallFails(t *testing.T) {
	tests := map[string]struct {
		attempt string
		err     error
		kind    string
		state   rpc.AttemptState
	}{
		"nothing was sent": {"t1", fault.New(fault.NoServer, "refused"), "refused no_server", rpc.AttemptState_ATTEMPT_REFUSED},
		"response lost":    {"t1", fault.New(fault.BackendFailed, "reset"), "failed outcome_unknown", rpc.AttemptState_ATTEMPT_UNKNOWN},
		"idempotent call":  {"", fault.New(fault.BackendFailed, "reset"), "failed backend_failed", rpc.AttemptState_ATTEMPT_UNSEEN},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, true, func(f *fixture) {
				t := f.t

				f.service.err = test.err
				assert.Equal(t, f.run(f.call("r1", test.attempt)).kind(), test.kind)
				assert.Equal(t, f.query(test.attempt, false).State, test.state)
			})
		})
	}
}

// Guards a started order against the loss of its entry: it runs to its end and its outcome can be asked for.
func TestCallOutlivesEntry(t *testing.T) {
	bubble(t, true, func(f *fixture) {
		t := f.t

		f.service.took = 10 * time.Second

		client, cut := f.client()
		stream, err := client.Run(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: f.call("r1", "t1")}}))
		time.Sleep(time.Second)
		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_RUNNING)

		assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Cancel{Cancel: &rpc.Cancel{RequestId: "r1"}}}))
		cut()
		time.Sleep(20 * time.Second)

		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_DONE)
		assert.DeepEqual(t, f.service.calls, map[string]int{"t1": 1})
	})
}

// Guards the places of a plain service against a call that hangs, whose outcome is then not known.
func TestCallHangs(t *testing.T) {
	bubble(t, true, func(f *fixture) {
		t := f.t

		f.service.took = 24 * time.Hour
		request := f.call("r1", "t1")
		request.RemainingMs = 1000
		f.begin(request)

		time.Sleep(20 * time.Second)
		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_RUNNING, "an answer after the deadline is still recorded")

		time.Sleep(time.Minute)
		f.greet()
		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_UNKNOWN)
		assert.Equal(t, f.hello.Load.Running, int32(0))
		assert.Equal(t, f.run(f.call("r2", "t1")).kind(), "failed outcome_unknown")
	})
}

// Guards orders against a second run under duplicate sends, refusing queries, lost entries and expired tickets.
func TestCallAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, 99), 10, 30).Draw(r, "plan")

		bubble(t, true, func(f *fixture) {
			t := f.t

			f.service.took = 300 * time.Millisecond
			refused := map[string]bool{}
			var sent []<-chan result

			for i, step := range plan {
				id := fmt.Sprint("t", step%4)

				switch step / 25 {
				case 0, 1:
					sent = append(sent, f.begin(f.call(fmt.Sprint("r", i), id)))
				case 2:
					refused[id] = refused[id] || f.query(id, true).State == rpc.AttemptState_ATTEMPT_REFUSED
				default:
					time.Sleep(time.Duration(step) * 10 * time.Millisecond)
				}

				if step%10 == 0 {
					f.greet()
				}
			}

			for _, s := range sent {
				<-s
			}

			f.service.mu.Lock()
			defer f.service.mu.Unlock()

			for id, count := range f.service.calls {
				assert.Equal(t, count, 1, "attempt %s", id)
				assert.Assert(t, !refused[id], "attempt %s ran after it was refused", id)
			}
		})
	})
}

// Guards a frozen or replaced process: another boot id says nothing about its attempts.
func TestQueryOtherBoot(t *testing.T) {
	bubble(t, true, func(f *fixture) {
		t := f.t

		f.hello.Boot = "boot-0"
		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_UNSPECIFIED)
	})
}
