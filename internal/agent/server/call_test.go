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

// Guards against a call to a plain service that fails on the normal path, or runs twice when it is sent twice.
func TestCall(t *testing.T) {
	withAgent(t, true, func(f *fixture) {
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

// Guards against a failed call that is reported as not run although it may have run, or as possibly run although it was not.
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
			withAgent(t, true, func(f *fixture) {
				t := f.t

				f.service.err = test.err
				assert.Equal(t, f.run(f.call("r1", test.attempt)).kind(), test.kind)
				assert.Equal(t, f.query(test.attempt, false).State, test.state)
			})
		})
	}
}

// Guards against a non-idempotent call that is canceled when its entry disconnects: it must complete, and its outcome can be
// queried.
func TestCallOutlivesEntry(t *testing.T) {
	withAgent(t, true, func(f *fixture) {
		t := f.t

		f.service.callTime = 10 * time.Second

		client, disconnect := f.client()
		stream, err := client.Run(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: f.call("r1", "t1")}}))
		time.Sleep(time.Second)
		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_RUNNING)

		assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Cancel{Cancel: &rpc.Cancel{RequestId: "r1"}}}))
		disconnect()
		time.Sleep(20 * time.Second)

		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_DONE)
		assert.DeepEqual(t, f.service.calls, map[string]int{"t1": 1})
	})
}

// Guards against a call that hangs and holds its concurrency slot forever. Its outcome is unknown once callGrace has passed.
func TestCallHangs(t *testing.T) {
	withAgent(t, true, func(f *fixture) {
		t := f.t

		f.service.callTime = 24 * time.Hour
		request := f.call("r1", "t1")
		request.RemainingMs = 1000
		f.start(request)

		time.Sleep(20 * time.Second)
		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_RUNNING, "a response after the deadline is still recorded")

		time.Sleep(time.Minute)
		f.handshake()
		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_UNKNOWN)
		assert.Equal(t, f.hello.Load.Running, int32(0))
		assert.Equal(t, f.run(f.call("r2", "t1")).kind(), "failed outcome_unknown")
	})
}

// Guards against a non-idempotent call that runs twice, or after a query refused it, with duplicate requests, lost
// entries and expired tickets.
func TestCallAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, 99), 10, 30).Draw(r, "plan")

		withAgent(t, true, func(f *fixture) {
			t := f.t

			f.service.callTime = 300 * time.Millisecond
			refused := map[string]bool{}
			var sent []<-chan result

			for i, step := range plan {
				id := fmt.Sprint("t", step%4)

				switch step / 25 {
				case 0, 1:
					sent = append(sent, f.start(f.call(fmt.Sprint("r", i), id)))
				case 2:
					refused[id] = refused[id] || f.query(id, true).State == rpc.AttemptState_ATTEMPT_REFUSED
				default:
					time.Sleep(time.Duration(step) * 10 * time.Millisecond)
				}

				if step%10 == 0 {
					f.handshake()
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

// Guards against a query for the attempts of an earlier agent process that is answered by its successor.
func TestQueryOtherBoot(t *testing.T) {
	withAgent(t, true, func(f *fixture) {
		t := f.t

		f.hello.Boot = "boot-0"
		assert.Equal(t, f.query("t1", true).State, rpc.AttemptState_ATTEMPT_UNSPECIFIED)
	})
}
