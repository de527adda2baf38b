package orders_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/agent/orders"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
)

var (
	wanted = engine.Adapter{Name: "a", Version: "1"}
	victim = engine.Adapter{Name: "b", Version: "1"}
)

// fakeEngine records orders; it implements only the methods that Loader calls.
type fakeEngine struct {
	engine.Engine
	report engine.Report
	orders []engine.Order
	err    error
}

func (f *fakeEngine) Report(context.Context) (engine.Report, error) { return f.report, nil }

func (f *fakeEngine) Order(_ context.Context, order engine.Order) error {
	f.orders = append(f.orders, order)
	return f.err
}

// lossyTable is a table whose first commit takes effect although its response is lost. During its second Get, another process
// acquires number 2.
type lossyTable struct {
	table.Memory
	once sync.Once
	gets int
}

func (l *lossyTable) Get(ctx context.Context, key string) (table.Row, error) {
	row, err := l.Memory.Get(ctx, key)

	l.gets++
	if l.gets == 2 {
		_, err = l.Memory.Commit(ctx, table.Txn{Puts: []table.Put{{Key: key, Value: []byte(`{"fence":2}`)}}})
	}

	return row, err
}

func (l *lossyTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	revision, err := l.Memory.Commit(ctx, txn)
	l.once.Do(func() { err = fault.New(fault.TableUnavailable, "response lost") })

	return revision, err
}

// Guards against two agent processes that acquire the same fencing number, even if the response to a commit is lost.
func TestFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &lossyTable{}
		seen := map[int64]bool{2: true}

		for range 3 {
			fence := &orders.Fence{Table: rows, Server: "s1"}
			go fence.Run(t.Context())

			number, err := fence.Number(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, !seen[number], "fencing number %d was acquired twice", number)
			seen[number] = true
		}
	})
}

// Guards against a process that continues to use a fencing number that the engine refused.
func TestFenceInvalidated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fence := &orders.Fence{Table: &table.Memory{}, Server: "s1"}
		go fence.Run(t.Context())

		first, err := fence.Number(t.Context())
		assert.NilError(t, err)

		o := &orders.Loader{Engine: &fakeEngine{err: fault.New(fault.Conflict, "old number")}, Fence: fence}
		err = o.Load(t.Context(), orders.Load{Adapter: wanted, Victim: &victim, ChecksFencing: true}, func() {
			t.Error("a refused order must not count as an unload")
		})
		assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
		assert.Assert(t, !fence.Held())

		time.Sleep(time.Minute)

		second, err := fence.Number(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, second > first)
	})
}

// Guards against outdated orders to an engine that does not check fencing numbers.
func TestUnfenced(t *testing.T) {
	running := func(id string) []engine.RunningRequest { return []engine.RunningRequest{{ID: id, Adapter: victim}} }
	tests := map[string]struct {
		report engine.Report
		fenced bool
		err    error
		orders int
	}{
		"as expected":                    {engine.Report{Boot: "b1"}, false, nil, 2},
		"engine restarted":               {engine.Report{Boot: "b2"}, false, orders.ErrRestarted, 0},
		"victim used by another process": {engine.Report{Boot: "b1", Running: running("other")}, false, orders.ErrInUse, 0},
		"delayed report of own request":  {engine.Report{Boot: "b1", Running: running("own")}, false, nil, 2},
		"engine checks fencing numbers":  {engine.Report{Boot: "b2"}, true, nil, 2},
		"other process, other adapter":   {engine.Report{Boot: "b1", Running: []engine.RunningRequest{{ID: "x", Adapter: wanted}}}, false, nil, 2},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeEngine{report: test.report}
				fence := &orders.Fence{Table: &table.Memory{}, Server: "s1"}
				go fence.Run(t.Context())

				unloaded := 0
				o := &orders.Loader{Engine: fake, Fence: fence}
				load := orders.Load{Adapter: wanted, Victim: &victim, Boot: "b1", ChecksFencing: test.fenced, IsOwnRequest: func(id string) bool { return id == "own" }}
				err := o.Load(t.Context(), load, func() { unloaded++ })

				assert.Assert(t, errors.Is(err, test.err), "%v", err)
				assert.Equal(t, len(fake.orders), test.orders)
				assert.Equal(t, unloaded, test.orders/2)
			})
		})
	}
}
