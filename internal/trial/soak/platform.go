package soak

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
	listed "github.com/chestnutbeam/chestnutbeam/internal/standin/vms"
)

// tableName and listName are the names of the platform's services on the network.
const (
	tableName = "table"
	listName  = "list"
)

// tableService is the table service that all processes share.
type tableService struct {
	memory   table.Memory
	switches switches.Switches
}

// tableClient is the client of the table of one process, through the simulated network.
type tableClient struct {
	network *Network
	process *process
	tables  *tableService
}

// do runs an operation on the table: the request and the response cross the network.
func (c *tableClient) do(ctx context.Context, write bool, effect func() error) error {
	if err := c.network.awaitPath(ctx, c.process, tableName, platformTimeout); err != nil {
		return unavailable(err)
	}

	err := c.tables.switches.Do(ctx, write, effect)
	if late := c.network.awaitPath(ctx, c.process, tableName, platformTimeout); late != nil {
		return unavailable(late)
	}

	return unavailable(err)
}

// unavailable converts an error to the kind TableUnavailable, except a conflict.
func unavailable(err error) error {
	if err == nil || fault.Is(err, fault.Conflict) {
		return err
	}

	return fault.Wrap(err, fault.TableUnavailable, "table")
}

// Get implements table.Table.
func (c *tableClient) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row

	err := c.do(ctx, false, func() error {
		var err error

		row, err = c.tables.memory.Get(ctx, key)

		return err
	})

	return row, err
}

// List implements table.Table.
func (c *tableClient) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row

	err := c.do(ctx, false, func() error {
		var err error

		rows, err = c.tables.memory.List(ctx, prefix, after, limit)

		return err
	})

	return rows, err
}

// Commit implements table.Table.
func (c *tableClient) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	var revision int64

	err := c.do(ctx, true, func() error {
		var err error

		revision, err = c.tables.memory.Commit(ctx, txn)

		return err
	})

	return revision, err
}

// listClient is the client of the VM list of one process, through the simulated network.
type listClient struct {
	network *Network
	process *process
	list    *listed.Server
}

// List implements vms.Lister.
func (c *listClient) List(ctx context.Context) (vms.List, error) {
	if err := c.network.awaitPath(ctx, c.process, listName, platformTimeout); err != nil {
		return vms.List{}, fault.Wrap(err, fault.BackendFailed, "VM list")
	}

	return c.list.List(ctx)
}

// objectStore is an in-memory object store without fault injection.
type objectStore struct {
	mu    sync.Mutex
	items map[string][]byte
}

// Get implements object.Store.
func (o *objectStore) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	value, ok := o.items[key]
	if !ok {
		return nil, fault.New(fault.NotFound, "no object %s", key)
	}

	return slices.Clone(value), nil
}

// Put implements object.Store.
func (o *objectStore) Put(_ context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.items == nil {
		o.items = map[string][]byte{}
	}

	o.items[key] = slices.Clone(value)

	return nil
}

// List implements object.Store.
func (o *objectStore) List(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	keys := slices.Sorted(maps.Keys(o.items))

	return slices.DeleteFunc(keys, func(key string) bool { return !strings.HasPrefix(key, prefix) }), nil
}
