// Package orders gives load and unload orders to an engine under a fencing number and the fleet-wide load budget.
package orders

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
)

// orderTimeout bounds one order; a load takes a quarter second, and longer when the weight store is busy.
const orderTimeout = 30 * time.Second

// checkAge is the age above which a reading of the engine's state is not acted on. It is older when this process was paused
// meanwhile, and another agent process may have used the engine since.
const checkAge = time.Second

// ErrInUse says that the engine runs requests on the adapter to unload.
var ErrInUse = errors.New("the adapter to unload is in use at the engine")

// ErrRestarted says that the engine is not the run that the order was meant for.
var ErrRestarted = errors.New("the engine restarted")

// ErrNotStarted says that no order was given, because the number or the engine's state could not be read.
var ErrNotStarted = errors.New("no order was given")

// Budget is the fleet-wide budget of loads from the weight store.
type Budget interface {
	// Take returns when one more load may start, or with an error.
	Take(ctx context.Context) error
}

// Load is one load to carry out.
type Load struct {
	Adapter engine.Adapter
	// Victim is unloaded first; nil for none.
	Victim *engine.Adapter
	// Boot is the engine run that the load was decided for.
	Boot string
	// Fenced says that the engine checks fencing numbers; if not, its state is read again before the orders.
	Fenced bool
	// Own reports whether this process gave the engine the request with the id, now or shortly before.
	Own func(id string) bool
}

// Orders gives orders to one engine, one at a time. The caller must not call Load concurrently, and verifies the result
// by the engine's later reports.
type Orders struct {
	Engine engine.Engine
	Fence  *Fence
}

// Load unloads the victim and loads the adapter. It calls unloaded once the victim is gone or may be gone.
func (o *Orders) Load(ctx context.Context, load Load, unloaded func()) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	number, err := o.Fence.Number(ctx)
	if err != nil {
		return errors.Mark(err, ErrNotStarted)
	}

	if !load.Fenced {
		if err := o.check(ctx, load); err != nil {
			return err
		}
	}

	if load.Victim != nil {
		err := o.order(ctx, engine.ActionUnload, *load.Victim, number)

		if !fault.Is(err, fault.Conflict) {
			unloaded()
		}

		if err != nil {
			return err
		}
	}

	return o.order(ctx, engine.ActionLoad, load.Adapter, number)
}

// check reads the engine's state again, because an engine without fencing carries out outdated orders as well.
func (o *Orders) check(ctx context.Context, load Load) error {
	report, err := o.read(ctx)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read the engine's state before an order"), ErrNotStarted)
	}

	if report.Boot != load.Boot {
		return ErrRestarted
	}

	if load.Victim != nil && load.uses(report, *load.Victim) {
		return ErrInUse
	}

	return nil
}

// read returns a recent reading of the engine's state.
func (o *Orders) read(ctx context.Context) (engine.Report, error) {
	for {
		asked := time.Now()

		report, err := o.Engine.Report(ctx)
		if err != nil || time.Since(asked) <= checkAge {
			return report, err
		}

		if ctx.Err() != nil {
			return engine.Report{}, ctx.Err()
		}
	}
}

func (o *Orders) order(ctx context.Context, action engine.Action, adapter engine.Adapter, number int64) error {
	err := o.Engine.Order(ctx, engine.Order{ID: ident.New("order"), Action: action, Adapter: adapter, Fence: number})

	if fault.Is(err, fault.Conflict) {
		o.Fence.Lose(number)
	}

	return errors.Wrapf(err, "%s adapter %s version %s", action, adapter.Name, adapter.Version)
}

// uses reports whether the engine runs a request of another process on the adapter. Requests of this process are
// known from their pins, and the lagging report shows them for a while after their end.
func (l Load) uses(report engine.Report, adapter engine.Adapter) bool {
	return slices.ContainsFunc(report.Running, func(running engine.RunningRequest) bool {
		return running.Adapter == adapter && !l.Own(running.ID)
	})
}
