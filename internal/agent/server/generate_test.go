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

// pollInterval is the time after which the agent has read the engine's state again.
const pollInterval = 500 * time.Millisecond

const whole = "0 1 2 3 4 "

// Guards the normal path: load on demand, whole answer, residency on the answer.
func TestGenerate(t *testing.T) {
	bubble(t, false, func(f *fixture) {
		t := f.t

		r := f.run(f.generate("r1", "x"))

		assert.Equal(t, r.kind(), "done")
		assert.Equal(t, r.text, whole)
		assert.Equal(t, r.done.Chunks, int64(5))
		assert.Assert(t, r.started.LoadWaitMs >= 250, "load wait %d", r.started.LoadWaitMs)
		assert.DeepEqual(t, r.resident, []string{"x@1"})
	})
}

// Guards callers against wrong, partial or repeated text from an engine whose streams misbehave.
func TestEngineStream(t *testing.T) {
	// at returns a change of the event with the number.
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
		"stream cut":            {at(3, func(engine.Event) *engine.Event { return nil }), "done"},
		"cut before end marker": {at(5, func(engine.Event) *engine.Event { return nil }), "done"},
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
			bubble(t, false, func(f *fixture) {
				t := f.t

				f.engine.set(func() { f.engine.change = test.change })

				r := f.run(f.generate("r1", "x"))
				assert.Equal(t, r.kind(), test.kind)

				if test.kind == "done" {
					assert.Equal(t, r.text, whole)
					return
				}

				assert.Equal(t, r.text, "0 1 ", "nothing of the wrong adapter is passed on")
				f.engine.set(func() { assert.DeepEqual(t, f.engine.canceled, []string{"r1"}) })
			})
		})
	}
}

// Guards against waiting requests that keep waiting for an adapter of an engine that restarted empty.
func TestEngineRestart(t *testing.T) {
	bubble(t, false, func(f *fixture) {
		t := f.t

		f.engine.set(func() { f.engine.events = 100 })

		running := make([]<-chan result, 0, 2)
		queued := make([]<-chan result, 0, 3)

		for i := range 2 {
			running = append(running, f.begin(f.generate(fmt.Sprint("r", i), "x")))
		}

		time.Sleep(500 * time.Millisecond)

		for i := range 3 {
			queued = append(queued, f.begin(f.generate(fmt.Sprint("q", i), "x")))
		}

		time.Sleep(300 * time.Millisecond)
		f.engine.restart("run-2")

		for _, r := range running {
			assert.Equal(t, (<-r).kind(), "failed interrupted")
		}

		for _, r := range queued {
			assert.Equal(t, (<-r).kind(), "done")
		}

		f.engine.set(func() {
			assert.Equal(t, len(f.engine.orders), 2, "one load for each run of the engine")
			assert.Equal(t, f.engine.most, 2, "the ramp restarts at 2")
		})
	})
}

// Guards a cold engine against more than the ramp allows, whether or not it says that it is cold.
func TestColdEngine(t *testing.T) {
	turns := map[string]func(e *fakeEngine){
		"flag":           func(e *fakeEngine) { e.cold = true },
		"without notice": func(e *fakeEngine) { e.pace = 300 * time.Millisecond },
		"restarted, and the report is outdated": func(e *fakeEngine) {
			e.reported = &engine.Report{Boot: e.boot, Resident: e.resident}
			e.boot, e.resident, e.fencing = "run-2", nil, true
		},
	}

	for name, turn := range turns {
		t.Run(name, func(t *testing.T) {
			bubble(t, false, func(f *fixture) {
				t := f.t

				// An engine that has just started counts as cold for a second.
				time.Sleep(2 * time.Second)
				f.greet()

				// The ramp grows to its ceiling of 4 with these requests.
				for range 3 {
					results := make([]<-chan result, 0, 8)
					for i := range 8 {
						results = append(results, f.begin(f.generate(fmt.Sprint("w", i, time.Now()), "x")))
					}

					for _, r := range results {
						assert.Equal(t, (<-r).kind(), "done")
					}

					f.greet()
				}

				f.engine.set(func() {
					assert.Equal(t, f.engine.most, 4)
					turn(f.engine)
				})

				// A restart that was not noticed yet refuses requests as not run.
				time.Sleep(pollInterval)

				first := f.begin(f.generate("first", "x"))
				second := f.begin(f.generate("second", "x"))

				time.Sleep(1200 * time.Millisecond)
				f.engine.set(func() { f.engine.most = 0 })
				f.greet()

				results := make([]<-chan result, 0, 8)
				for i := range 8 {
					results = append(results, f.begin(f.generate(fmt.Sprint("c", i), "x")))
				}

				time.Sleep(time.Second)
				f.engine.set(func() {
					assert.Assert(t, f.engine.most <= 2, "%d run at once", f.engine.most)
					f.engine.reported = nil
				})

				for _, r := range append(results, first, second) {
					assert.Equal(t, (<-r).kind(), "done")
				}
			})
		})
	}
}

// Guards against adapters that are evicted under running or waiting requests, and against more loads than needed.
func TestEvictionUnderLoad(t *testing.T) {
	bubble(t, false, func(f *fixture) {
		t := f.t

		results := make([]<-chan result, 0, 40)

		for i := range 40 {
			request := f.generate(fmt.Sprint("r", i), fmt.Sprint("adapter", i*7%5))
			request.Account, request.Key = fmt.Sprint("a", 1+i%2), fmt.Sprint("k", 1+i%2)
			results = append(results, f.begin(request))

			time.Sleep(20 * time.Millisecond)
		}

		for _, r := range results {
			got := <-r
			assert.Equal(t, got.kind(), "done")
			assert.Equal(t, got.text, whole)
		}
	})
}

// Guards against a failed load that blocks other requests, and against a wrong "not run".
func TestLoadFails(t *testing.T) {
	bubble(t, false, func(f *fixture) {
		t := f.t

		f.engine.set(func() { f.engine.loadErr = fault.New(fault.AdapterUnavailable, "weights are broken") })
		assert.Equal(t, f.run(f.generate("r1", "x")).kind(), "refused adapter_unavailable")

		r := f.run(f.generate("r2", "x"))
		assert.Equal(t, r.kind(), "refused adapter_unavailable")
		assert.Equal(t, r.refused.RetryAfterMs, int64(1000))

		f.engine.set(func() {
			assert.Equal(t, len(f.engine.orders), 1, "no load during the backoff")
			assert.Equal(t, len(f.engine.asked), 0)
			f.engine.loadErr = nil
		})
		time.Sleep(time.Second)
		assert.Equal(t, f.run(f.generate("r3", "x")).kind(), "done")
	})
}

// Guards an answer against the loss of the entry's connection, and the engine against work for entries that are gone.
func TestConnectionLost(t *testing.T) {
	tests := map[string]struct {
		pause  time.Duration
		cancel bool
		kind   string
		text   string
	}{
		"resumed in time":       {time.Second, false, "done", "3 4 5 6 7 8 9 "},
		"resumed too late":      {3 * time.Second, false, "failed canceled", ""},
		"canceled by the entry": {100 * time.Millisecond, true, "failed canceled", ""},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, false, func(f *fixture) {
				t := f.t

				f.engine.set(func() {
					f.engine.events = 10
					f.engine.pace = 400 * time.Millisecond
				})

				client, cut := f.client()
				stream, err := client.Run(t.Context())
				assert.NilError(t, err)

				request := f.generate("r1", "x")
				assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: request}}))
				assert.Equal(t, read(stream, 3).text, "0 1 2 ")

				if test.cancel {
					assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Cancel{Cancel: &rpc.Cancel{RequestId: "r1"}}}))
					synctest.Wait()
				}

				cut()
				time.Sleep(test.pause)

				again := f.generate("r1", "x")
				again.Resume = 3

				r := f.run(again)
				assert.Equal(t, r.kind(), test.kind)

				if test.text != "" {
					assert.Equal(t, r.text, test.text)
				}

				f.engine.set(func() {
					assert.DeepEqual(t, f.engine.asked, []string{"r1"})
					assert.Equal(t, len(f.engine.canceled) == 0, test.kind == "done")
				})
			})
		})
	}
}

// Guards an answer against readers with another key or for another process.
func TestResumeByOthers(t *testing.T) {
	bubble(t, false, func(f *fixture) {
		t := f.t

		f.engine.set(func() { f.engine.pace = 100 * time.Millisecond })
		running := f.begin(f.generate("r1", "x"))

		time.Sleep(500 * time.Millisecond)

		stranger := f.generate("r1", "x")
		stranger.Account, stranger.Key = "a2", "k2"
		assert.Equal(t, f.run(stranger).kind(), "refused invalid_request")

		late := f.generate("r1", "x")
		late.Boot = "boot-0"
		assert.Equal(t, f.run(late).kind(), "refused boot_changed")
		assert.Equal(t, (<-running).text, whole)
	})
}

// Guards the agent's memory against an entry that does not read.
func TestSlowEntry(t *testing.T) {
	bubble(t, false, func(f *fixture) {
		t := f.t

		f.engine.set(func() {
			f.engine.events = 5000
			f.engine.pace = time.Millisecond
		})

		client, cut := f.client()
		stream, err := client.Run(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: f.generate("r1", "x")}}))
		read(stream, 1)

		time.Sleep(20 * time.Second)
		f.engine.set(func() { assert.Assert(t, f.engine.sent < 700, "%d events were read from the engine", f.engine.sent) })
		cut()
	})
}

// Guards against resident lists that are sent with every Hello, and against the list of an earlier agent process that passes for
// the one of its successor.
func TestResidentListComesWithTheAnswer(t *testing.T) {
	epochs := map[int64]bool{}

	for range 2 {
		bubble(t, false, func(f *fixture) {
			assert.Assert(t, !f.hello.Load.ResidentSent)

			epochs[f.hello.Load.ResidentEpoch] = true
			answer := f.run(f.generate("r1", "quote"))
			assert.DeepEqual(t, answer.resident, []string{"quote@1"})
		})
	}

	assert.Equal(t, len(epochs), 2)
}
