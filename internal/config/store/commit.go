package store

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
)

// maxCommitAttempts is the number of attempts to send a commit whose response does not arrive. After the last one, its outcome
// is reported as unknown.
const maxCommitAttempts = 3

// ConflictError is the error of a commit that lost against other changes.
type ConflictError struct {
	// Expected is the version on which the change was based.
	Expected int64
	// Changes were committed after Expected, in order.
	Changes []document.Change
}

// Error implements error.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("the change was based on version %d; changes committed since: %d", c.Expected, len(c.Changes))
}

// Unwrap returns a fault of kind Conflict.
func (c *ConflictError) Unwrap() error {
	return fault.New(fault.Conflict, "version %d is no longer the newest", c.Expected)
}

// Commit writes the change as the version after base and returns the new document. A change that was committed before
// under the same id and version is reported as committed again, so a caller may repeat a call whose response was lost.
func (s *Store) Commit(ctx context.Context, base *document.Document, change document.Change) (*document.Document, error) {
	if base.Version >= change.Version {
		if _, err := s.readOutcome(ctx, change); err != nil {
			return nil, err
		}

		return base, nil
	}

	next, err := base.Apply(change)
	if err != nil {
		return nil, err
	}

	value, err := json.Marshal(change)
	if err != nil {
		return nil, errors.Wrap(err, "encode change")
	}

	if len(value) > MaxChangeBytes {
		return nil, fault.New(fault.TooLarge, "the change has %d bytes; the maximum is %d", len(value), MaxChangeBytes)
	}

	if err := s.commitWithRetry(ctx, change, value); err != nil {
		return nil, err
	}

	return next, nil
}

// commitWithRetry sends the transaction until its outcome is known. A retry is safe: each attempt checks that the head is still
// the version before the change, so at most one takes effect.
func (s *Store) commitWithRetry(ctx context.Context, change document.Change, value []byte) error {
	var (
		err  error
		sent bool
	)

	for range maxCommitAttempts {
		var known bool

		known, err = s.tryCommit(ctx, change, value, &sent)
		if known {
			return err
		}
	}

	if !sent {
		return err
	}

	return fault.Wrap(err, fault.OutcomeUnknown, "the outcome of change %s, which was sent to the table, is unknown; repeat it with the same id", change.ID)
}

// tryCommit sends the transaction once. It returns whether the outcome is known, and the outcome. It sets sent once a
// transaction may have taken effect.
func (s *Store) tryCommit(ctx context.Context, change document.Change, value []byte, sent *bool) (bool, error) {
	head, row, err := s.head(ctx)
	if err != nil {
		return false, err
	}

	if head.Version != change.Version-1 {
		return s.readOutcome(ctx, change)
	}

	newHead, err := json.Marshal(Head{Version: change.Version, Change: change.ID})
	if err != nil {
		return true, errors.Wrap(err, "encode config/head")
	}

	txn := table.Txn{
		Checks: []table.Check{{Key: headKey, Version: row}, {Key: logKey(change.Version), Version: 0}},
		Puts:   []table.Put{{Key: headKey, Value: newHead}, {Key: logKey(change.Version), Value: value}},
	}

	_, err = s.Table.Commit(ctx, txn)

	switch {
	case err == nil:
		return true, nil
	case fault.Is(err, fault.Conflict):
		return s.readOutcome(ctx, change)
	default:
		*sent = true
		return false, errors.Wrap(err, "commit change")
	}
}

// readOutcome reads which change was committed as the version. It returns whether that is known, and a ConflictError if it is
// another change.
func (s *Store) readOutcome(ctx context.Context, change document.Change) (bool, error) {
	found, err := s.readLogRow(ctx, change.Version)
	if err != nil {
		return false, err
	}

	if found.ID == change.ID {
		return true, nil
	}

	since, err := s.Log(ctx, change.Version-1)
	if err != nil {
		return false, err
	}

	return true, &ConflictError{Expected: change.Version - 1, Changes: since}
}
