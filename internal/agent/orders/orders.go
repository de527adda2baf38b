// Package orders sends load and unload orders with a fencing number to a model engine.
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

// orderTimeout limits one Load; a load takes a quarter of a second, and longer when the weight store is busy.
const orderTimeout = 30 * time.Second

// maxReportAge is the maximum age of a report on which an order is based. A report is older if this process was paused after
// it requested the report; another agent process may have used the engine since.
const maxReportAge = time.Second

// ErrInUse is returned if the engine runs requests of another process on the adapter to unload.
var ErrInUse = errors.New("the adapter to unload is in use at the engine")

// ErrRestarted is returned if the engine restarted since the load was decided.
var ErrRestarted = errors.New("the engine restarted")

// ErrNotStarted is returned if no order was sent because the fencing number or the engine's report was not available.
var ErrNotStarted = errors.New("no order was sent")

// LoadBudget limits the rate of loads from the weight store across the fleet.
type LoadBudget interface {
	// Take waits until one more load may start, or returns an error.
	Take(ctx context.Context) error
}

// Load describes one load of an adapter.
type Load struct {
	Adapter engine.Adapter
	// Victim is the adapter to evict before the load; nil for none.
	Victim *engine.Adapter
	// Boot is the boot id of the engine for which the load was decided.
	Boot string
	// ChecksFencing is true if the engine refuses orders with an outdated fencing number. If it is false, the engine's report is
	// read again before the orders.
	ChecksFencing bool
	// IsOwnRequest reports whether this process sent the request to the engine, and the request is running or completed
	// recently.
	IsOwnRequest func(id string) bool
}

// Loader sends orders to one engine, one at a time. Load must not be called concurrently. The caller verifies its result with
// the engine's later reports.
type Loader struct {
	Engine engine.Engine
	Fence  *Fence
}

// Load unloads the victim and loads the adapter. It calls unloaded once the victim was unloaded or may have been unloaded.
func (o *Loader) Load(ctx context.Context, load Load, unloaded func()) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	number, err := o.Fence.Number(ctx)
	if err != nil {
		return errors.Mark(err, ErrNotStarted)
	}

	if !load.ChecksFencing {
		if err := o.checkEngine(ctx, load); err != nil {
			return err
		}
	}

	if load.Victim != nil {
		err := o.sendOrder(ctx, engine.ActionUnload, *load.Victim, number)

		if !fault.Is(err, fault.Conflict) {
			unloaded()
		}

		if err != nil {
			return err
		}
	}

	return o.sendOrder(ctx, engine.ActionLoad, load.Adapter, number)
}

// checkEngine checks the load against a current report, because an engine that does not check fencing numbers also executes
// outdated orders.
func (o *Loader) checkEngine(ctx context.Context, load Load) error {
	report, err := o.currentReport(ctx)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read the engine's report before an order"), ErrNotStarted)
	}

	if report.Boot != load.Boot {
		return ErrRestarted
	}

	if load.Victim != nil && load.inUseByOthers(report, *load.Victim) {
		return ErrInUse
	}

	return nil
}

// currentReport returns a report that is at most maxReportAge old.
func (o *Loader) currentReport(ctx context.Context) (engine.Report, error) {
	for {
		requestedAt := time.Now()

		report, err := o.Engine.Report(ctx)
		if err != nil || time.Since(requestedAt) <= maxReportAge {
			return report, err
		}

		if ctx.Err() != nil {
			return engine.Report{}, ctx.Err()
		}
	}
}

// sendOrder sends one order and invalidates the fencing number if the engine refuses it.
func (o *Loader) sendOrder(ctx context.Context, action engine.Action, adapter engine.Adapter, number int64) error {
	err := o.Engine.Order(ctx, engine.Order{ID: ident.New("order"), Action: action, Adapter: adapter, Fence: number})

	if fault.Is(err, fault.Conflict) {
		o.Fence.Invalidate(number)
	}

	return errors.Wrapf(err, "%s adapter %s version %s", action, adapter.Name, adapter.Version)
}

// inUseByOthers reports whether the engine runs a request of another process on the adapter. Requests of this process are
// ignored: they pin their adapter while they run, and the delayed report lists them for a while after their completion.
func (l Load) inUseByOthers(report engine.Report, adapter engine.Adapter) bool {
	return slices.ContainsFunc(report.Running, func(running engine.RunningRequest) bool {
		return running.Adapter == adapter && !l.IsOwnRequest(running.ID)
	})
}
