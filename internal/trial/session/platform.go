package session

import (
	"context"
	"sync/atomic"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
)

// faultyTable is an in-memory table that can be made unavailable.
type faultyTable struct {
	table.Memory
	unavailable atomic.Bool
}

// Get implements table.Table.
func (o *faultyTable) Get(ctx context.Context, key string) (table.Row, error) {
	if err := o.err(); err != nil {
		return table.Row{}, err
	}

	return o.Memory.Get(ctx, key)
}

// List implements table.Table.
func (o *faultyTable) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := o.err(); err != nil {
		return nil, err
	}

	return o.Memory.List(ctx, prefix, after, limit)
}

// Commit implements table.Table.
func (o *faultyTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	if err := o.err(); err != nil {
		return 0, err
	}

	return o.Memory.Commit(ctx, txn)
}

func (o *faultyTable) err() error {
	if o.unavailable.Load() {
		return fault.New(fault.TableUnavailable, "the table is down")
	}

	return nil
}
