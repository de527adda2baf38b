package server_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// pollInterval is the agent's poll interval: after it has elapsed, the agent has polled the engine again.
const pollInterval = 500 * time.Millisecond

// fullText is the complete text of a response of the fake engine.
const fullText = "0 1 2 3 4 "

// Guards against a generation that fails on the normal path: load on demand, complete text, resident list in the response.
func TestGenerate(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		r := f.run(f.generate("r1", "x"))

		assert.Equal(t, r.kind(), "done")
		assert.Equal(t, r.text, fullText)
		assert.Equal(t, r.done.Chunks, int64(5))
		assert.Assert(t, r.started.LoadWaitMs >= 250, "load wait %d", r.started.LoadWaitMs)
		assert.DeepEqual(t, r.resident, []string{"x@1"})
	})
}

// Guards against wrong, partial or repeated text when the engine sends wrong events or its stream breaks.
func TestEngineStream(t *testing.T) {
	// at returns a change of the event with a sequence number.
	at := func(seq int64, change func(event engine.Event) *engine.Event) func(engine.Event) *engine.Event {
		return func(event engine.Event) *engine.Event {
			if event.Seq != seq {
				return &event
			}

			return change(event)
		}
	}

	tests := map[string]struct {
		change func(engine.Event) *engine.Event
		kind   string
	}{
		"event of another request": {at(2, func(e engine.Event) *engine.Event {
			e.ID, e.Text = "other", "other "
			return &e
		}), "done"},
		"event of another adapter": {at(2, func(e engine.Event) *engine.Event {
			e.Adapter.Name = "y"
			return &e
		}), "failed backend_failed"},
		"event of another version": {at(2, func(e engine.Event) *engine.Event {
			e.Adapter.Version = "2"
			return &e
		}), "failed backend_failed"},
		"late event": {at(3, func(e engine.Event) *engine.Event {
			e.Seq, e.Text = 1, "1 "
			return &e
		}), "done"},
		"stream ends early":      {at(3, func(engine.Event) *engine.Event { return nil }), "done"},
		"ends before end marker": {at(5, func(engine.Event) *engine.Event { return nil }), "done"},
		"end marker too low": {at(3, func(e engine.Event) *engine.Event {
			e.Seq, e.End = 2, true
			return &e
		}), "done"},
		"end marker too early": {at(3, func(e engine.Event) *engine.Event {
			e.Seq, e.End = 5, true
			return &e
		}), "done"},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withAgent(t, false, func(f *fixture) {
				t := f.t

				f.engine.locked(func() { f.engine.change = test.change })

				r := f.run(f.generate("r1", "x"))
				assert.Equal(t, r.kind(), test.kind)

				if test.kind == "done" {
					assert.Equal(t, r.text, fullText)
					return
				}

				assert.Equal(t, r.text, "0 1 ", "no event of the wrong adapter is forwarded")
				f.engine.locked(func() { assert.DeepEqual(t, f.engine.canceled, []string{"r1"}) })
			})
		})
	}
}

// Guards against queued requests that wait forever for an adapter after the engine restarted without adapters.
func TestEngineRestart(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		f.engine.locked(func() { f.engine.eventCount = 100 })

		running := make([]<-chan result, 0, 2)
		queued := make([]<-chan result, 0, 3)

		for i := range 2 {
			running = append(running, f.start(f.generate(fmt.Sprint("r", i), "x")))
		}

		time.Sleep(500 * time.Millisecond)

		for i := range 3 {
			queued = append(queued, f.start(f.generate(fmt.Sprint("q", i), "x")))
		}

		time.Sleep(300 * time.Millisecond)
		f.engine.restart("run-2")

		for _, r := range running {
			assert.Equal(t, (<-r).kind(), "failed interrupted")
		}

		for _, r := range queued {
			assert.Equal(t, (<-r).kind(), "done")
		}

		f.engine.locked(func() {
			assert.Equal(t, len(f.engine.orders), 2, "one load order for each boot id of the engine")
			assert.Equal(t, f.engine.maxRunning, 2, "the ramp restarts at 2")
		})
	})
}

// Guards against a cold engine that gets more requests than the ramp allows, whether or not it reports that it is cold.
func TestColdEngine(t *testing.T) {
	causes := map[string]func(e *fakeEngine){
		"reports cold":               func(e *fakeEngine) { e.cold = true },
		"slow, does not report cold": func(e *fakeEngine) { e.eventTime = 300 * time.Millisecond },
		"restarted, and the report is outdated": func(e *fakeEngine) {
			e.reported = &engine.Report{Boot: e.boot, Resident: e.resident}
			// Without fencing, the agent reads the report before an order and refuses loads while its boot id is outdated.
			e.boot, e.resident, e.fencing = "run-2", nil, true
		},
	}

	for name, apply := range causes {
		t.Run(name, func(t *testing.T) {
			withAgent(t, false, func(f *fixture) {
				t := f.t

				// An engine that has just started is considered cold for a second.
				time.Sleep(2 * time.Second)
				f.handshake()

				// These requests raise the ramp to its ceiling of 4.
				for range 3 {
					results := make([]<-chan result, 0, 8)
					for i := range 8 {
						results = append(results, f.start(f.generate(fmt.Sprint("w", i, time.Now()), "x")))
					}

					for _, r := range results {
						assert.Equal(t, (<-r).kind(), "done")
					}

					f.handshake()
				}

				f.engine.locked(func() {
					assert.Equal(t, f.engine.maxRunning, 4)
					apply(f.engine)
				})

				// Until the agent has detected a restart, it refuses requests for adapters that the engine no longer has. The
				// requests below must run.
				time.Sleep(pollInterval)

				first := f.start(f.generate("first", "x"))
				second := f.start(f.generate("second", "x"))

				time.Sleep(1200 * time.Millisecond)
				f.engine.locked(func() { f.engine.maxRunning = 0 })
				f.handshake()

				results := make([]<-chan result, 0, 8)
				for i := range 8 {
					results = append(results, f.start(f.generate(fmt.Sprint("c", i), "x")))
				}

				time.Sleep(time.Second)
				f.engine.locked(func() {
					assert.Assert(t, f.engine.maxRunning <= 2, "%d run at once", f.engine.maxRunning)
					f.engine.reported = nil
				})

				for _, r := range append(results, first, second) {
					assert.Equal(t, (<-r).kind(), "done")
				}
			})
		})
	}
}

// Guards against adapters that are evicted while running or queued requests use them, and against more loads than needed.
// The engine records an eviction in use as a violation, which runWithAgent checks.
func TestEvictionUnderLoad(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		results := make([]<-chan result, 0, 40)

		for i := range 40 {
			request := f.generate(fmt.Sprint("r", i), fmt.Sprint("adapter", i*7%5))
			request.Account, request.Key = fmt.Sprint("a", 1+i%2), fmt.Sprint("k", 1+i%2)
			results = append(results, f.start(request))

			time.Sleep(20 * time.Millisecond)
		}

		for _, r := range results {
			got := <-r
			assert.Equal(t, got.kind(), "done")
			assert.Equal(t, got.text, fullText)
		}
	})
}

// Guards against a failed load that blocks later requests, is retried during the backoff, or starts requests at the engine.
func TestLoadFails(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		f.engine.locked(func() { f.engine.loadErr = fault.New(fault.AdapterUnavailable, "weights are broken") })
		assert.Equal(t, f.run(f.generate("r1", "x")).kind(), "refused adapter_unavailable")

		r := f.run(f.generate("r2", "x"))
		assert.Equal(t, r.kind(), "refused adapter_unavailable")
		assert.Equal(t, r.refused.RetryAfterMs, int64(1000))

		f.engine.locked(func() {
			assert.Equal(t, len(f.engine.orders), 1, "no load during the backoff")
			assert.Equal(t, len(f.engine.generated), 0)
			f.engine.loadErr = nil
		})
		time.Sleep(time.Second)
		assert.Equal(t, f.run(f.generate("r3", "x")).kind(), "done")
	})
}

// Guards against a response that cannot be resumed after the entry's connection was lost, and against a generation that
// continues at the engine although its entry canceled it or did not reconnect in time.
func TestConnectionLost(t *testing.T) {
	tests := map[string]struct {
		interruption time.Duration
		cancel       bool
		kind         string
		text         string
	}{
		"resumed in time":       {time.Second, false, "done", "3 4 5 6 7 8 9 "},
		"resumed too late":      {3 * time.Second, false, "failed canceled", ""},
		"canceled by the entry": {100 * time.Millisecond, true, "failed canceled", ""},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withAgent(t, false, func(f *fixture) {
				t := f.t

				f.engine.locked(func() {
					f.engine.eventCount = 10
					f.engine.eventTime = 400 * time.Millisecond
				})

				client, disconnect := f.client()
				stream, err := client.Run(t.Context())
				assert.NilError(t, err)

				request := f.generate("r1", "x")
				assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: request}}))
				assert.Equal(t, readResult(stream, 3).text, "0 1 2 ")

				if test.cancel {
					assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Cancel{Cancel: &rpc.Cancel{RequestId: "r1"}}}))
					synctest.Wait()
				}

				disconnect()
				time.Sleep(test.interruption)

				again := f.generate("r1", "x")
				again.Resume = 3

				r := f.run(again)
				assert.Equal(t, r.kind(), test.kind)

				if test.text != "" {
					assert.Equal(t, r.text, test.text)
				}

				f.engine.locked(func() {
					assert.DeepEqual(t, f.engine.generated, []string{"r1"})
					assert.Equal(t, len(f.engine.canceled) == 0, test.kind == "done")
				})
			})
		})
	}
}

// Guards against a response that is resumed with another key, or with the boot id of another agent process.
func TestResumeByOthers(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		f.engine.locked(func() { f.engine.eventTime = 100 * time.Millisecond })
		running := f.start(f.generate("r1", "x"))

		time.Sleep(500 * time.Millisecond)

		other := f.generate("r1", "x")
		other.Account, other.Key = "a2", "k2"
		assert.Equal(t, f.run(other).kind(), "refused invalid_request")

		otherBoot := f.generate("r1", "x")
		otherBoot.Boot = "boot-0"
		assert.Equal(t, f.run(otherBoot).kind(), "refused boot_changed")
		assert.Equal(t, (<-running).text, fullText)
	})
}

// Guards against unbounded memory use when an entry does not read its response.
func TestSlowEntry(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		f.engine.locked(func() {
			f.engine.eventCount = 5000
			f.engine.eventTime = time.Millisecond
		})

		client, disconnect := f.client()
		stream, err := client.Run(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: f.generate("r1", "x")}}))
		readResult(stream, 1)

		time.Sleep(20 * time.Second)
		f.engine.locked(func() {
			assert.Assert(t, f.engine.eventsSent < 700, "%d events were read from the engine", f.engine.eventsSent)
		})
		disconnect()
	})
}

// Guards against resident lists that are sent with every Hello, and against an epoch that is used by two agent processes, so
// that the list of the earlier one counts as current.
func TestResidentListSentWithResponse(t *testing.T) {
	epochs := map[int64]bool{}

	for range 2 {
		withAgent(t, false, func(f *fixture) {
			assert.Assert(t, !f.hello.Load.ResidentSent)

			epochs[f.hello.Load.ResidentEpoch] = true
			response := f.run(f.generate("r1", "quote"))
			assert.DeepEqual(t, response.resident, []string{"quote@1"})
		})
	}

	assert.Equal(t, len(epochs), 2)
}
