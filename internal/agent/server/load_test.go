package server_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// Guards against requests for resident adapters that fail while the table is unavailable: only loads need a fencing number.
func TestTableOutage(t *testing.T) {
	prepare := func(f *fixture) {
		f.table.down.Store(true)
		f.engine.resident = []engine.Adapter{{Name: "x", Version: "1"}}
	}

	withPreparedAgent(t, prepare, func(f *fixture) {
		t := f.t

		assert.Equal(t, f.run(f.generate("r1", "x")).kind(), "done")
		assert.Equal(t, f.run(f.generate("r2", "y")).kind(), "refused adapter_unavailable")

		f.table.down.Store(false)
		time.Sleep(2 * time.Second)
		f.handshake()
		assert.Equal(t, f.run(f.generate("r3", "y")).kind(), "done")
	})
}

// Guards against an agent that can no longer load adapters after another process acquired a higher fencing number.
func TestFencingNumberRefused(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		f.engine.locked(func() { f.engine.fencing, f.engine.fence = true, 2 })
		began := time.Now()
		assert.Equal(t, f.run(f.generate("r1", "x")).kind(), "refused adapter_unavailable")
		assert.Assert(t, time.Since(began) < time.Second, "refused at once, so that the entry can try another server")

		time.Sleep(31 * time.Second)
		f.handshake()
		assert.Equal(t, f.run(f.generate("r2", "x")).kind(), "done")
		f.engine.locked(func() { assert.Equal(t, f.engine.orders[len(f.engine.orders)-1].Fence, int64(2)) })
	})
}

// Guards against an eviction of adapters in use by requests that an earlier agent process left running at the engine.
func TestAgentRestart(t *testing.T) {
	used := engine.Adapter{Name: "used", Version: "1"}
	prepare := func(f *fixture) {
		f.engine.slots = 1
		f.engine.fencing = true
		f.engine.resident = []engine.Adapter{used}
		f.engine.running["old"] = engine.Request{ID: "old", Adapter: used}
	}

	withPreparedAgent(t, prepare, func(f *fixture) {
		t := f.t

		waiting := f.start(f.generate("r1", "x"))

		time.Sleep(10 * time.Second)
		f.engine.locked(func() {
			assert.Equal(t, len(f.engine.orders), 0)
			delete(f.engine.running, "old")
		})
		assert.Equal(t, (<-waiting).kind(), "done")
	})
}

// Guards against an adapter that the engine no longer has and that is not loaded again.
func TestAdapterNoLongerResident(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		assert.Equal(t, f.run(f.generate("r1", "x")).kind(), "done")

		time.Sleep(time.Second)
		f.engine.locked(func() { f.engine.resident = nil })
		assert.Equal(t, f.run(f.generate("r2", "x")).kind(), "refused adapter_unavailable")
		assert.Equal(t, f.run(f.generate("r3", "x")).kind(), "done")

		f.engine.locked(func() { f.engine.resident = nil })
		time.Sleep(3 * time.Second)
		f.handshake()
		assert.Equal(t, f.run(f.generate("r4", "x")).kind(), "done", "the report shows that the adapter is not resident")
	})
}
