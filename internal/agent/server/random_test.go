package server_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// faults are what may happen to an engine at any moment.
var faults = []func(f *fixture, draw int){
	func(f *fixture, draw int) { f.engine.restart(fmt.Sprint("run-", time.Now().UnixNano(), draw)) },
	func(f *fixture, draw int) {
		f.engine.set(func() { f.engine.pace = time.Duration(1+draw) * 4 * time.Millisecond })
	},
	func(f *fixture, draw int) { f.engine.set(func() { f.engine.cold = draw%2 == 0 }) },
	func(f *fixture, draw int) { f.engine.set(func() { f.engine.down = draw%4 == 0 }) },
	func(f *fixture, draw int) { f.engine.set(func() { f.engine.lossy = draw%3 == 0 }) },
	func(f *fixture, draw int) { f.table.down.Store(draw%2 == 0) },
	func(f *fixture, draw int) {
		f.engine.set(func() {
			f.engine.loadErr = nil
			if draw%2 == 0 {
				f.engine.loadErr = fault.New(fault.AdapterUnavailable, "load failed")
			}
		})
	},
	func(f *fixture, draw int) {
		f.engine.set(func() {
			f.engine.change = func(event engine.Event) *engine.Event {
				if event.Seq == int64(draw%7) {
					return nil
				}

				return &event
			}
		})
	},
	// An entry whose connection breaks.
	func(f *fixture, draw int) {
		client, cut := f.client()

		if stream, err := client.Run(f.t.Context()); err == nil {
			_ = stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: f.generate(fmt.Sprint("lost", time.Now().UnixNano()), "0")}})
			time.Sleep(time.Duration(draw) * 10 * time.Millisecond)
		}

		cut()
	},
}

// Guards against partial answers that look whole, refusals that say "not run" of requests that ran, and evictions in
// use, whatever the engine does, and against more requests at the engine than the limit. The invariants in the program are checked as well.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, 999), 20, 60).Draw(r, "plan")

		bubble(t, false, func(f *fixture) {
			t := f.t
			sent := map[string]<-chan result{}

			for i, step := range plan {
				if step < 200 {
					faults[step%len(faults)](f, step/len(faults))
				} else {
					id := fmt.Sprint("r", i)
					sent[id] = f.begin(f.generate(id, fmt.Sprint(step%4)))
				}

				time.Sleep(time.Duration(step%10) * 50 * time.Millisecond)
				f.greet()
			}

			for id, results := range sent {
				got := <-results

				switch {
				case got.done != nil:
					assert.Equal(t, got.text, whole)
				case got.refused != nil:
					f.engine.set(func() { assert.Assert(t, !slices.Contains(f.engine.asked, id), "%s was refused and ran", id) })
				case got.failed == nil:
					t.Errorf("request %s ended without an answer: %v", id, got.err)
				}
			}

			f.engine.set(func() { assert.Assert(t, f.engine.most <= 4, "%d requests ran at once", f.engine.most) })
		})
	})
}
