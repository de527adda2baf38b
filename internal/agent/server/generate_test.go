package server_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards the normal path: load on demand, whole answer, residency on the answer.
func TestGenerate(t *testing.T) {
	bubble(t, false, func(f *fixture) {
		r := f.run(f.generate("r1", "x"))

		assert.Equal(t, r.kind(), "done")
		assert.Equal(t, r.text, "0 1 2 3 4 ")
		assert.Equal(t, r.done.Chunks, int64(5))
		assert.Assert(t, r.started.LoadWaitMs >= 250, "load wait %d", r.started.LoadWaitMs)
		assert.DeepEqual(t, r.resident, []string{"x@1"})
	})
}

// Guards the normal path of a plain service.
func TestCall(t *testing.T) {
	bubble(t, true, func(f *fixture) {
		r := f.run(f.call("r1", "t1"))

		assert.Equal(t, r.kind(), "done")
		assert.Equal(t, r.done.Status, int32(201))
		assert.Equal(t, string(r.done.Body), "t1")
	})
}

// Guards against waiting requests that keep waiting for an adapter of an engine that restarted empty.
func TestEngineRestart(t *testing.T) {
	bubble(t, false, func(f *fixture) {
		f.engine.set(func() { f.engine.events = 200 })

		running := f.begin(f.generate("r1", "x"))

		time.Sleep(time.Second)
		f.engine.restart("run-2")
		assert.Equal(t, (<-running).kind(), "failed interrupted")

		f.engine.set(func() { f.engine.events = 5 })
		f.greet()
		assert.Equal(t, f.run(f.generate("r2", "x")).kind(), "done")
		f.engine.set(func() { assert.Equal(t, len(f.engine.orders), 2, "one load for each run of the engine") })
	})
}
