package server_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// Guards resident adapters against an outage of the table: only loads need a fencing number.
func TestTableOutage(t *testing.T) {
	prepare := func(f *fixture) {
		f.table.down.Store(true)
		f.engine.resident = []engine.Adapter{{Name: "x", Version: "1"}}
	}

	prepared(t, prepare, func(f *fixture) {
		t := f.t

		assert.Equal(t, f.run(f.generate("r1", "x")).kind(), "done")
		assert.Equal(t, f.run(f.generate("r2", "y")).kind(), "refused adapter_unavailable")

		f.table.down.Store(false)
		time.Sleep(2 * time.Second)
		f.greet()
		assert.Equal(t, f.run(f.generate("r3", "y")).kind(), "done")
	})
}

// Guards against an agent that can no longer load after another process took a higher fencing number.
func TestFenced(t *testing.T) {
	bubble(t, false, func(f *fixture) {
		t := f.t

		f.engine.set(func() { f.engine.fencing, f.engine.fence = true, 2 })
		began := time.Now()
		assert.Equal(t, f.run(f.generate("r1", "x")).kind(), "refused adapter_unavailable")
		assert.Assert(t, time.Since(began) < time.Second, "refused at once, so that the entry can spill")

		time.Sleep(31 * time.Second)
		f.greet()
		assert.Equal(t, f.run(f.generate("r2", "x")).kind(), "done")
		f.engine.set(func() { assert.Equal(t, f.engine.orders[len(f.engine.orders)-1].Fence, int64(2)) })
	})
}

// Guards the adapters of requests that an earlier agent process left running at an engine.
func TestAgentRestart(t *testing.T) {
	used := engine.Adapter{Name: "used", Version: "1"}
	prepare := func(f *fixture) {
		f.engine.slots = 1
		f.engine.fencing = true
		f.engine.resident = []engine.Adapter{used}
		f.engine.running["old"] = engine.Request{ID: "old", Adapter: used}
	}

	prepared(t, prepare, func(f *fixture) {
		t := f.t

		waiting := f.begin(f.generate("r1", "x"))

		time.Sleep(10 * time.Second)
		f.engine.set(func() {
			assert.Equal(t, len(f.engine.orders), 0)
			delete(f.engine.running, "old")
		})
		assert.Equal(t, (<-waiting).kind(), "done")
	})
}

// Guards against requests for an adapter that the engine no longer has, and that nothing loads again.
func TestAdapterVanished(t *testing.T) {
	bubble(t, false, func(f *fixture) {
		t := f.t

		assert.Equal(t, f.run(f.generate("r1", "x")).kind(), "done")

		time.Sleep(time.Second)
		f.engine.set(func() { f.engine.resident = nil })
		assert.Equal(t, f.run(f.generate("r2", "x")).kind(), "refused adapter_unavailable")
		assert.Equal(t, f.run(f.generate("r3", "x")).kind(), "done")

		f.engine.set(func() { f.engine.resident = nil })
		time.Sleep(3 * time.Second)
		f.greet()
		assert.Equal(t, f.run(f.generate("r4", "x")).kind(), "done", "a report has shown it")
	})
}
