package store

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	snapshotPrefix = "config/snapshot/"
	// SnapshotEvery is the number of changes between snapshots. At 2,800 changes a day that is about one in two hours,
	// and a new process reads at most a few hundred log rows.
	SnapshotEvery = 250
)

// Latest returns the newest document, from the newest snapshot and the log after it, or from the whole log if the snapshot
// cannot be read.
func (s *Store) Latest(ctx context.Context) (*document.Document, error) {
	base, err := s.readSnapshot(ctx)
	if err != nil {
		logrus.WithField("component", "config").WithError(err).Warn("failed to read the newest snapshot; reading the whole log")

		base = document.Empty()
	}

	return s.ReplayFrom(ctx, base)
}

// ReplayFrom returns base with the log after its version applied.
func (s *Store) ReplayFrom(ctx context.Context, base *document.Document) (*document.Document, error) {
	changes, err := s.Log(ctx, base.Version)
	if err != nil {
		return nil, err
	}

	return base.Replay(changes)
}

// WriteSnapshot writes the document to the object store, unless the newest snapshot is fewer than SnapshotEvery versions older.
func (s *Store) WriteSnapshot(ctx context.Context, d *document.Document) error {
	if s.Objects == nil {
		return nil
	}

	newest, err := s.newestSnapshotVersion(ctx)
	if err != nil {
		return err
	}

	if d.Version-newest < SnapshotEvery {
		return nil
	}

	value, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}

	return errors.Wrapf(s.Objects.Put(ctx, snapshotKey(d.Version), value), "write snapshot %d", d.Version)
}

func (s *Store) readSnapshot(ctx context.Context) (*document.Document, error) {
	if s.Objects == nil {
		return document.Empty(), nil
	}

	version, err := s.newestSnapshotVersion(ctx)
	if err != nil {
		return nil, err
	}

	if version == 0 {
		return document.Empty(), nil
	}

	value, err := s.Objects.Get(ctx, snapshotKey(version))
	if err != nil {
		return nil, errors.Wrapf(err, "read snapshot %d", version)
	}

	return DecodeSnapshot(value, version)
}

// DecodeSnapshot decodes a document and checks its version.
func DecodeSnapshot(value []byte, version int64) (*document.Document, error) {
	d := document.Empty()

	if err := json.Unmarshal(value, d); err != nil {
		return nil, errors.Wrapf(err, "decode snapshot %d", version)
	}

	if d.Version != version {
		return nil, fault.New(fault.Internal, "snapshot %d contains version %d", version, d.Version)
	}

	return d, nil
}

func (s *Store) newestSnapshotVersion(ctx context.Context) (int64, error) {
	keys, err := s.Objects.List(ctx, snapshotPrefix)
	if err != nil {
		return 0, errors.Wrap(err, "list snapshots")
	}

	if len(keys) == 0 {
		return 0, nil
	}

	version, err := strconv.ParseInt(strings.TrimPrefix(keys[len(keys)-1], snapshotPrefix), 10, 64)

	return version, errors.Wrapf(err, "parse the name of snapshot %s", keys[len(keys)-1])
}

func snapshotKey(version int64) string {
	return fmt.Sprintf("%s%012d", snapshotPrefix, version)
}
