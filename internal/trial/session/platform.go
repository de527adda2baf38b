package session

import (
	"context"
	"sync/atomic"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
)

// outage is a table in memory that can be down.
type outage struct {
	table.Memory
	down atomic.Bool
}

// Get implements table.Table.
func (o *outage) Get(ctx context.Context, key string) (table.Row, error) {
	if err := o.err(); err != nil {
		return table.Row{}, err
	}

	return o.Memory.Get(ctx, key)
}

// List implements table.Table.
func (o *outage) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := o.err(); err != nil {
		return nil, err
	}

	return o.Memory.List(ctx, prefix, after, limit)
}

// Commit implements table.Table.
func (o *outage) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	if err := o.err(); err != nil {
		return 0, err
	}

	return o.Memory.Commit(ctx, txn)
}

func (o *outage) err() error {
	if o.down.Load() {
		return fault.New(fault.TableUnavailable, "the table is down")
	}

	return nil
}
