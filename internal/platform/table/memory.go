package table

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Memory is an in-memory Table for the stand-in and for tests. It is safe for concurrent use; the zero value is an empty
// table.
type Memory struct {
	mu       sync.Mutex
	rows     map[string]Row
	revision int64
}

// Get implements Table.
func (m *Memory) Get(_ context.Context, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	row, ok := m.rows[key]
	if !ok {
		return Row{Key: key}, nil
	}

	return clone(row), nil
}

// List implements Table.
func (m *Memory) List(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	var rows []Row

	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, clone(row))
		}
	}

	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })

	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}

	return rows, nil
}

// Commit implements Table.
func (m *Memory) Commit(_ context.Context, txn Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, check := range txn.Checks {
		if m.rows[check.Key].Version != check.Version {
			return 0, fault.New(fault.Conflict, "row %s has version %d, not %d", check.Key, m.rows[check.Key].Version, check.Version)
		}
	}

	if m.rows == nil {
		m.rows = map[string]Row{}
	}

	m.revision++

	for _, put := range txn.Puts {
		m.rows[put.Key] = Row{Key: put.Key, Value: slices.Clone(put.Value), Version: m.revision}
	}

	for _, key := range txn.Deletes {
		delete(m.rows, key)
	}

	return m.revision, nil
}

func clone(row Row) Row {
	row.Value = slices.Clone(row.Value)
	return row
}
