package store_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
)

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")

	os.Exit(m.Run())
}

var errTableDown = fault.New(fault.TableUnavailable, "the table is down")

// unreliableTable is a table that loses requests and responses as drawFault decides for each call.
type unreliableTable struct {
	table.Memory
	// drawFault returns whether a call takes effect and whether its response arrives; with nil, every call succeeds.
	drawFault func() (applied, answered bool)
}

func (u *unreliableTable) nextCall() (applied, answered bool) {
	if u.drawFault == nil {
		return true, true
	}

	return u.drawFault()
}

func (u *unreliableTable) Get(ctx context.Context, key string) (table.Row, error) {
	if _, answered := u.nextCall(); !answered {
		return table.Row{}, errTableDown
	}

	return u.Memory.Get(ctx, key)
}

func (u *unreliableTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	applied, answered := u.nextCall()
	if !applied {
		return 0, errTableDown
	}

	revision, err := u.Memory.Commit(ctx, txn)
	if !answered {
		return 0, errTableDown
	}

	return revision, err
}

// memoryObjects is an object store in memory.
type memoryObjects struct {
	mu   sync.Mutex
	data map[string][]byte
	down bool
}

func (o *memoryObjects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.down {
		return nil, errors.New("object store is down")
	}

	return o.data[key], nil
}

func (o *memoryObjects) Put(_ context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.data[key] = value

	return nil
}

func (o *memoryObjects) List(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	var keys []string

	for key := range o.data {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}

	slices.Sort(keys)

	return keys, nil
}

func modelChange(version int64, id, name string) document.Change {
	value := json.RawMessage(fmt.Sprintf(`{"context":%d}`, version))

	return document.Change{
		Version: version, ID: id, Author: "marisol",
		Edits: []document.Edit{{Section: document.SectionModel, Name: name, Value: value}},
	}
}

// Guards against two operators overwriting each other, and against a conflict error without the changes committed meanwhile.
func TestRacingOperators(t *testing.T) {
	ctx := context.Background()
	s := &store.Store{Table: &table.Memory{}}
	base := document.Empty()

	_, err := s.Commit(ctx, base, modelChange(1, "first", "a"))
	assert.NilError(t, err)

	_, err = s.Commit(ctx, base, modelChange(1, "second", "b"))

	var conflict *store.ConflictError

	assert.Assert(t, errors.As(err, &conflict))
	assert.Assert(t, fault.Is(err, fault.Conflict))
	assert.Equal(t, len(conflict.Changes), 1)
	assert.Equal(t, conflict.Changes[0].ID, "first")

	latest, err := s.Latest(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(latest.Models), 1)

	again, err := s.Commit(ctx, latest, modelChange(1, "first", "a"))
	assert.NilError(t, err)
	assert.Equal(t, again.Version, int64(1))
}

// Guards against a commit whose response is lost being reported as failed, or written twice.
func TestLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		unreliable := &unreliableTable{}
		s := &store.Store{Table: unreliable}
		committed := map[string]bool{}
		unknown := map[string]bool{}

		for i := range 12 {
			unreliable.drawFault = nil
			base, err := s.Latest(ctx)
			assert.NilError(t, err)

			unreliable.drawFault = func() (bool, bool) {
				return rapid.Bool().Draw(t, "effect"), rapid.Bool().Draw(t, "answer")
			}
			id := fmt.Sprint("change-", i)

			_, err = s.Commit(ctx, base, modelChange(base.Version+1, id, id))
			committed[id] = err == nil
			unknown[id] = fault.Is(err, fault.OutcomeUnknown)
		}

		unreliable.drawFault = nil
		log, err := s.Log(ctx, 0)
		assert.NilError(t, err)

		found := map[string]int{}
		for _, change := range log {
			found[change.ID]++
		}

		for id, success := range committed {
			if !unknown[id] {
				assert.Equal(t, found[id] == 1, success, "%s: %d rows", id, found[id])
			}

			assert.Assert(t, found[id] <= 1)
		}
	})
}

// Guards against a new process that builds a different document from snapshot and log than from the whole log.
func TestSnapshotAndLog(t *testing.T) {
	ctx := context.Background()
	snapshots := &memoryObjects{data: map[string][]byte{}}
	s := &store.Store{Table: &table.Memory{}, Objects: snapshots}
	d := document.Empty()

	for d.Version < 3*store.SnapshotEvery/2 {
		next, err := s.Commit(ctx, d, modelChange(d.Version+1, fmt.Sprint(d.Version), fmt.Sprint("m", d.Version%7)))
		assert.NilError(t, err)
		assert.NilError(t, s.WriteSnapshot(ctx, next))

		d = next
	}

	assert.Equal(t, len(snapshots.data), 1)

	cases := map[string]func(){
		"snapshot and log":  func() {},
		"object store down": func() { snapshots.down = true },
		"damaged snapshot": func() {
			snapshots.down = false
			for key := range snapshots.data {
				snapshots.data[key] = []byte("{")
			}
		},
		"no object store": func() { s.Objects = nil },
	}

	for _, name := range []string{"snapshot and log", "object store down", "damaged snapshot", "no object store"} {
		cases[name]()

		latest, err := s.Latest(ctx)
		assert.NilError(t, err, name)
		assert.DeepEqual(t, latest, d)
	}
}
