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

// faults are the faults that the random test injects.
var faults = []func(f *fixture, draw int){
	func(f *fixture, draw int) { f.engine.restart(fmt.Sprint("run-", time.Now().UnixNano(), draw)) },
	func(f *fixture, draw int) {
		f.engine.locked(func() { f.engine.eventTime = time.Duration(1+draw) * 4 * time.Millisecond })
	},
	func(f *fixture, draw int) { f.engine.locked(func() { f.engine.cold = draw%2 == 0 }) },
	func(f *fixture, draw int) { f.engine.locked(func() { f.engine.down = draw%4 == 0 }) },
	func(f *fixture, draw int) { f.engine.locked(func() { f.engine.loseResponse = draw%3 == 0 }) },
	func(f *fixture, draw int) { f.table.down.Store(draw%2 == 0) },
	func(f *fixture, draw int) {
		f.engine.locked(func() {
			f.engine.loadErr = nil
			if draw%2 == 0 {
				f.engine.loadErr = fault.New(fault.AdapterUnavailable, "load failed")
			}
		})
	},
	func(f *fixture, draw int) {
		f.engine.locked(func() {
			f.engine.change = func(event engine.Event) *engine.Event {
				if event.Seq == int64(draw%7) {
					return nil
				}

				return &event
			}
		})
	},
	// An entry loses its connection.
	func(f *fixture, draw int) {
		client, disconnect := f.client()

		if stream, err := client.Run(f.t.Context()); err == nil {
			_ = stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: f.generate(fmt.Sprint("lost", time.Now().UnixNano()), "0")}})
			time.Sleep(time.Duration(draw) * 10 * time.Millisecond)
		}

		disconnect()
	},
}

// Guards against partial responses that are sent as complete, refused requests that ran, evictions of adapters in use and
// more requests at the engine than the limit, under random faults. The invariant checks of the program are active as well.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, 999), 20, 60).Draw(r, "plan")

		withAgent(t, false, func(f *fixture) {
			t := f.t
			sent := map[string]<-chan result{}

			for i, step := range plan {
				if step < 200 {
					faults[step%len(faults)](f, step/len(faults))
				} else {
					id := fmt.Sprint("r", i)
					sent[id] = f.start(f.generate(id, fmt.Sprint(step%4)))
				}

				time.Sleep(time.Duration(step%10) * 50 * time.Millisecond)
				f.handshake()
			}

			for id, results := range sent {
				got := <-results

				switch {
				case got.done != nil:
					assert.Equal(t, got.text, fullText)
				case got.refused != nil:
					f.engine.locked(func() { assert.Assert(t, !slices.Contains(f.engine.generated, id), "%s was refused and ran", id) })
				case got.failed == nil:
					t.Errorf("request %s ended without a response: %v", id, got.err)
				}
			}

			f.engine.locked(func() { assert.Assert(t, f.engine.maxRunning <= 4, "%d requests ran at once", f.engine.maxRunning) })
		})
	})
}
