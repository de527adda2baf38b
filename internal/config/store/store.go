// Package store commits changes of the fleet document to the table and reads them back, from the log and from snapshots.
package store

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/object"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
)

const (
	headKey   = "config/head"
	logPrefix = "config/log/"
	// logPageSize is the number of log rows that one read returns.
	logPageSize = 500
	// MaxChangeBytes bounds an encoded change, so that it fits into a table row and a message between processes.
	MaxChangeBytes = 1 << 20
)

// Store reads and writes the fleet document.
type Store struct {
	// Table holds the head and the log.
	Table table.Table
	// Objects holds the snapshots; nil means that the whole log is read and no snapshot is written.
	Objects object.Store
}

// Head is the row config/head, which names the newest committed version.
type Head struct {
	Version int64 `json:"version"`
	// Change is the id of the change that made the version.
	Change string `json:"change"`
}

// Head returns the newest committed version, which is 0 before the first change.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)

	return head, err
}

func (s *Store) head(ctx context.Context) (Head, int64, error) {
	row, err := s.Table.Get(ctx, headKey)
	if err != nil {
		return Head{}, 0, errors.Wrap(err, "read config/head")
	}

	var head Head

	if row.Version == 0 {
		return head, 0, nil
	}

	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, 0, errors.Wrap(err, "decode config/head")
	}

	return head, row.Version, nil
}

// Log returns all changes after a version, in order and without gaps.
func (s *Store) Log(ctx context.Context, after int64) ([]document.Change, error) {
	var changes []document.Change

	for {
		page, err := s.LogPage(ctx, after, logPageSize)
		if err != nil {
			return nil, err
		}

		changes = append(changes, page...)

		if len(page) < logPageSize {
			return changes, nil
		}

		after = page[len(page)-1].Version
	}
}

// LogPage returns at most limit changes after a version, in order and without gaps.
func (s *Store) LogPage(ctx context.Context, after int64, limit int) ([]document.Change, error) {
	rows, err := s.Table.List(ctx, logPrefix, logKey(after), limit)
	if err != nil {
		return nil, errors.Wrapf(err, "read log after %d", after)
	}

	changes := make([]document.Change, 0, len(rows))

	for i, row := range rows {
		var change document.Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return nil, errors.Wrapf(err, "decode %s", row.Key)
		}

		if change.Version != after+1+int64(i) {
			return nil, fault.New(fault.Internal, "row %s contains version %d", row.Key, change.Version)
		}

		changes = append(changes, change)
	}

	return changes, nil
}

// readLogRow returns the change in the log row of a version, with an empty id if the row is absent.
func (s *Store) readLogRow(ctx context.Context, version int64) (document.Change, error) {
	var change document.Change

	row, err := s.Table.Get(ctx, logKey(version))
	if err != nil {
		return change, errors.Wrapf(err, "read log row %d", version)
	}

	if row.Version == 0 {
		return change, nil
	}

	return change, errors.Wrapf(json.Unmarshal(row.Value, &change), "decode log row %d", version)
}

func logKey(version int64) string {
	return fmt.Sprintf("%s%012d", logPrefix, version)
}
