package orders_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/agent/orders"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	standin "github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
)

// pausable is an engine as seen by a process that stops running for a while just before or just after a call of it. The
// channels are nil until the pause is armed.
type pausable struct {
	engine.Engine
	beforeReport, afterReport, beforeOrder chan struct{}
}

func pass(gate chan struct{}) {
	if gate != nil {
		<-gate
	}
}

func (p *pausable) Report(ctx context.Context) (engine.Report, error) {
	pass(p.beforeReport)
	report, err := p.Engine.Report(ctx)
	pass(p.afterReport)

	return report, err
}

func (p *pausable) Order(ctx context.Context, order engine.Order) error {
	pass(p.beforeOrder)

	return p.Engine.Order(ctx, order)
}

// Guards the work of a newer agent process against the orders of an older one that was paused: an engine that checks
// fencing numbers refuses them, and for another one the older process sees that the adapter is in use.
func TestOlderProcessPaused(t *testing.T) {
	const pause = 10 * time.Second

	tests := map[string]struct {
		fencing bool
		arm     func(p *pausable, gate chan struct{})
		err     func(err error) bool
	}{
		"fencing, before the order": {
			true, func(p *pausable, gate chan struct{}) { p.beforeOrder = gate }, func(err error) bool { return fault.Is(err, fault.Conflict) },
		},
		"no fencing, before the state is read": {
			false, func(p *pausable, gate chan struct{}) { p.beforeReport = gate }, func(err error) bool { return errors.Is(err, orders.ErrInUse) },
		},
		"no fencing, after the state was read": {
			false, func(p *pausable, gate chan struct{}) { p.afterReport = gate }, func(err error) bool { return errors.Is(err, orders.ErrInUse) },
		},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				model := standin.New(standin.Config{Slots: 1, Fencing: test.fencing, TokenTime: time.Second})
				defer model.Close()

				rows := &table.Memory{}
				seen := &pausable{Engine: model}
				older := process(t, rows, seen)
				load := orders.Load{Adapter: victim, Fenced: test.fencing, Own: func(string) bool { return false }}
				load.Boot = bootOf(t, model)
				assert.NilError(t, older.Load(t.Context(), load, nil))

				gate := make(chan struct{})
				test.arm(seen, gate)

				swap := load
				swap.Adapter, swap.Victim = wanted, &victim
				ended := make(chan error, 1)

				go func() { ended <- older.Load(t.Context(), swap, func() {}) }()

				synctest.Wait()

				newer := process(t, rows, model)
				assert.NilError(t, newer.Load(t.Context(), load, nil))

				stream, err := model.Generate(t.Context(), engine.Request{ID: "r1", Adapter: victim, MaxTokens: 100})
				assert.NilError(t, err)

				defer func() { _ = stream.Close() }()

				time.Sleep(pause)
				close(gate)

				err = <-ended
				assert.Assert(t, test.err(err), "%v", err)
				assert.Equal(t, model.Record().Evictions, int64(0))
			})
		})
	}
}

// process returns the orders of a new agent process, which holds a higher fencing number than those before it.
func process(t *testing.T, rows table.Table, seen engine.Engine) *orders.Orders {
	t.Helper()

	fence := &orders.Fence{Table: rows, Server: "s1"}
	go fence.Run(t.Context())

	_, err := fence.Number(t.Context())
	assert.NilError(t, err)

	return &orders.Orders{Engine: seen, Fence: fence}
}

func bootOf(t *testing.T, model engine.Engine) string {
	t.Helper()

	info, err := model.Info(t.Context())
	assert.NilError(t, err)

	return info.Boot
}
