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

// tableTimeout bounds one operation of the table.
const tableTimeout = 2 * time.Second

// read reads the row.
func (o *order) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()

	found, err := o.claims.Table.Get(ctx, o.rowKey)
	if err != nil {
		return fault.Wrap(err, fault.TableUnavailable, "the table does not answer; the call was not sent")
	}

	o.row, o.version = nil, found.Version

	if found.Version == 0 {
		return nil
	}

	o.row, err = decode(found)

	return err
}

// claim writes a claim of a new attempt over the row that was read. It returns false if another call was faster; the row
// has been read again then. A lost answer is resolved by reading the row back.
func (o *order) claim(ctx context.Context, target relay.AgentProcess) (bool, error) {
	o.attempt()

	wanted := &Row{
		Hash:    o.hash,
		Attempt: o.call.Attempt,
		Server:  target.Server,
		Address: target.Address,
		Boot:    target.Boot,
	}

	version, err := o.put(ctx, wanted)
	if err == nil {
		o.row, o.version = wanted, version
		return true, nil
	}

	if err := o.read(ctx); err != nil {
		return false, err
	}

	if o.ours() {
		return true, nil
	}

	if !fault.Is(err, fault.Conflict) {
		return false, fault.Wrap(err, fault.TableUnavailable, "the claim could not be written; the call was not sent")
	}

	return false, nil
}

// put writes the row if it still has the version that was read.
func (o *order) put(ctx context.Context, row *Row) (int64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "encode the row of the order")
	}

	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()

	return o.claims.Table.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: o.rowKey, Version: o.version}},
		Puts:   []table.Put{{Key: o.rowKey, Value: value}},
	})
}

// complete stores the outcome of the claimed attempt. The caller gets the outcome whether it can be stored or not.
func (o *order) complete(ctx context.Context, done *rpc.Done) {
	final := *o.row
	final.Outcome = outcomeOf(done)

	if !o.store(context.WithoutCancel(ctx), &final) {
		o.claims.late.add(o, &final)
	}
}

// store writes the outcome and reports whether the row holds it, or one that another call has stored.
func (o *order) store(ctx context.Context, final *Row) bool {
	_, err := o.put(ctx, final)
	if err == nil {
		return true
	}

	if o.read(ctx) != nil || o.row == nil {
		return false
	}

	invariant.Check(o.row.Attempt == final.Attempt, "order.once", "%s was claimed again after it had run", o.rowKey)

	return o.row.Outcome != nil || o.row.Attempt != final.Attempt
}

// release removes the claim of an attempt that was not run. If that fails, the next call asks the agent process.
func (o *order) release(ctx context.Context) {
	if !o.ours() {
		return
	}

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableTimeout)
	defer cancel()

	_, err := o.claims.Table.Commit(ctx, table.Txn{
		Checks:  []table.Check{{Key: o.rowKey, Version: o.version}},
		Deletes: []string{o.rowKey},
	})
	if err != nil {
		logrus.WithFields(logrus.Fields{"component": "claim", "request": o.request.ID}).WithError(err).
			Warn("the claim of an attempt that was not run could not be removed")
	}
}
