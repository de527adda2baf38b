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

// pausableEngine blocks before or after a call until a channel is closed, like a process that is paused at that point. A nil
// channel does not block.
type pausableEngine struct {
	engine.Engine
	beforeReport, afterReport, beforeOrder chan struct{}
}

// waitFor blocks until the channel is closed, unless it is nil.
func waitFor(resume chan struct{}) {
	if resume != nil {
		<-resume
	}
}

func (p *pausableEngine) Report(ctx context.Context) (engine.Report, error) {
	waitFor(p.beforeReport)
	report, err := p.Engine.Report(ctx)
	waitFor(p.afterReport)

	return report, err
}

func (p *pausableEngine) Order(ctx context.Context, order engine.Order) error {
	waitFor(p.beforeOrder)

	return p.Engine.Order(ctx, order)
}

// Guards against an eviction of an adapter in use by an older agent process that was paused while a newer one took over. An
// engine that checks fencing numbers refuses its orders; for any other engine, the older process detects that the adapter is
// in use.
func TestOlderProcessPaused(t *testing.T) {
	const pause = 10 * time.Second

	tests := map[string]struct {
		fencing bool
		pauseAt func(p *pausableEngine, resume chan struct{})
		err     func(err error) bool
	}{
		"fencing, before the order": {
			true, func(p *pausableEngine, resume chan struct{}) { p.beforeOrder = resume }, func(err error) bool { return fault.Is(err, fault.Conflict) },
		},
		"no fencing, before the report is read": {
			false, func(p *pausableEngine, resume chan struct{}) { p.beforeReport = resume }, func(err error) bool { return errors.Is(err, orders.ErrInUse) },
		},
		"no fencing, after the report was read": {
			false, func(p *pausableEngine, resume chan struct{}) { p.afterReport = resume }, func(err error) bool { return errors.Is(err, orders.ErrInUse) },
		},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				model := standin.New(standin.Config{Slots: 1, Fencing: test.fencing, TokenTime: time.Second})
				defer model.Close()

				rows := &table.Memory{}
				pausable := &pausableEngine{Engine: model}
				older := newProcess(t, rows, pausable)
				load := orders.Load{Adapter: victim, ChecksFencing: test.fencing, IsOwnRequest: func(string) bool { return false }}
				load.Boot = bootOf(t, model)
				assert.NilError(t, older.Load(t.Context(), load, nil))

				resume := make(chan struct{})
				test.pauseAt(pausable, resume)

				evictingLoad := load
				evictingLoad.Adapter, evictingLoad.Victim = wanted, &victim
				ended := make(chan error, 1)

				go func() { ended <- older.Load(t.Context(), evictingLoad, func() {}) }()

				synctest.Wait()

				newer := newProcess(t, rows, model)
				// The adapter is resident already; the load makes the engine record the higher fencing number.
				assert.NilError(t, newer.Load(t.Context(), load, nil))

				stream, err := model.Generate(t.Context(), engine.Request{ID: "r1", Adapter: victim, MaxTokens: 100})
				assert.NilError(t, err)

				defer func() { _ = stream.Close() }()

				time.Sleep(pause)
				close(resume)

				err = <-ended
				assert.Assert(t, test.err(err), "%v", err)
				assert.Equal(t, model.Record().EvictedRequests, int64(0))
			})
		})
	}
}

// newProcess returns the Loader of a new agent process, with a higher fencing number than the processes before it.
func newProcess(t *testing.T, rows table.Table, model engine.Engine) *orders.Loader {
	t.Helper()

	fence := &orders.Fence{Table: rows, Server: "s1"}
	go fence.Run(t.Context())

	_, err := fence.Number(t.Context())
	assert.NilError(t, err)

	return &orders.Loader{Engine: model, Fence: fence}
}

func bootOf(t *testing.T, model engine.Engine) string {
	t.Helper()

	info, err := model.Info(t.Context())
	assert.NilError(t, err)

	return info.Boot
}
