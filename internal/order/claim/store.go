package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// tableTimeout bounds one table operation.
const tableTimeout = 2 * time.Second

// readRow reads the row of the key from the table.
func (e *execution) readRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()

	found, err := e.executor.Table.Get(ctx, e.rowKey)
	if err != nil {
		return fault.Wrap(err, fault.TableUnavailable, "the table is unavailable; the call was not sent")
	}

	e.row, e.version = nil, found.Version

	if found.Version == 0 {
		return nil
	}

	e.row, err = decodeRow(found)

	return err
}

// writeClaim replaces the row that was read by the claim of a new attempt. It returns false if another call wrote the row
// first, and has read the new row then. If the response of the table is lost, it reads the row to find out whether the claim
// was written.
func (e *execution) writeClaim(ctx context.Context, agent relay.AgentProcess) (bool, error) {
	e.newAttempt()

	newRow := &Row{
		Hash:    e.requestHash,
		Attempt: e.call.Attempt,
		Server:  agent.Server,
		Address: agent.Address,
		Boot:    agent.Boot,
	}

	version, err := e.writeRow(ctx, newRow)
	if err == nil {
		e.row, e.version = newRow, version
		return true, nil
	}

	if err := e.readRow(ctx); err != nil {
		return false, err
	}

	if e.ownsClaim() {
		return true, nil
	}

	if !fault.Is(err, fault.Conflict) {
		return false, fault.Wrap(err, fault.TableUnavailable, "the claim could not be written; the call was not sent")
	}

	return false, nil
}

// writeRow writes the row if its version in the table is still the one that was read.
func (e *execution) writeRow(ctx context.Context, row *Row) (int64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "encode the claim")
	}

	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()

	return e.executor.Table.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: e.rowKey, Version: e.version}},
		Puts:   []table.Put{{Key: e.rowKey, Value: value}},
	})
}

// complete stores the outcome of the claimed attempt, or adds it to the backlog: the caller gets the outcome even if it cannot
// be stored.
func (e *execution) complete(ctx context.Context, done *rpc.Done) {
	final := *e.row
	final.Outcome = newOutcome(done)

	if !e.storeOutcome(context.WithoutCancel(ctx), &final) {
		e.executor.backlog.add(e, &final)
	}
}

// storeOutcome writes the outcome. It reports whether the row contains it, or an outcome that another call has stored.
func (e *execution) storeOutcome(ctx context.Context, final *Row) bool {
	_, err := e.writeRow(ctx, final)
	if err == nil {
		return true
	}

	if e.readRow(ctx) != nil || e.row == nil {
		return false
	}

	invariant.Check(e.row.Attempt == final.Attempt, "order.once", "%s was claimed again after it had run", e.rowKey)

	return e.row.Outcome != nil || e.row.Attempt != final.Attempt
}

// releaseClaim removes the claim of an attempt that was not run. If that fails, the next call queries the agent process.
func (e *execution) releaseClaim(ctx context.Context) {
	if !e.ownsClaim() {
		return
	}

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableTimeout)
	defer cancel()

	_, err := e.executor.Table.Commit(ctx, table.Txn{
		Checks:  []table.Check{{Key: e.rowKey, Version: e.version}},
		Deletes: []string{e.rowKey},
	})
	if err != nil {
		logrus.WithFields(logrus.Fields{"component": "claim", "request": e.request.ID}).WithError(err).
			Warn("failed to remove the claim of an attempt that was not run")
	}
}
