package follow

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Revoke adds a pending revocation, which the table did not accept, and sends it to every listed entry. The first entry that
// reaches the table commits it.
func (f *Follower) Revoke(ctx context.Context, revocation board.Revocation) {
	f.init()
	f.addPending(revocation)
	f.SyncAll(ctx)
}

// AddPendingRevocations adds the pending revocations of another process; they stay until the document contains them.
func (f *Follower) AddPendingRevocations(revocations []*rpc.Revocation) {
	for _, r := range revocations {
		f.addPending(board.Revocation{
			Key: r.GetKey(), Author: r.GetAuthor(), Reason: r.GetReason(),
			Time: time.UnixMilli(r.GetUnixMs()).UTC(), Change: r.GetChange(),
		})
	}
}

// addPending adds a revocation unless it is committed. The first one received for a key stays, so that in most cases all
// entries that try to commit it use the same change id.
func (f *Follower) addPending(revocation board.Revocation) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if d := f.Board.Document.Value(); d != nil && d.Keys[revocation.Key].Revoked {
		return
	}

	pending := f.Board.PendingRevocations.Value()
	if _, ok := pending[revocation.Key]; ok {
		return
	}

	next := maps.Clone(pending)
	if next == nil {
		next = map[string]board.Revocation{}
	}

	next[revocation.Key] = revocation
	f.Board.PendingRevocations.Set(next)
}

// dropCommitted removes the pending revocations that the document contains. The caller has put the document on the board.
func (f *Follower) dropCommitted(d *document.Document) {
	pending := f.Board.PendingRevocations.Value()
	next := maps.Clone(pending)

	maps.DeleteFunc(next, func(key string, _ board.Revocation) bool { return d.Keys[key].Revoked })

	if len(next) != len(pending) {
		f.Board.PendingRevocations.Set(next)
	}
}

// RevocationMessages returns the messages that carry pending revocations to another process.
func RevocationMessages(pending map[string]board.Revocation) []*rpc.Revocation {
	list := make([]*rpc.Revocation, 0, len(pending))

	for _, key := range slices.Sorted(maps.Keys(pending)) {
		r := pending[key]
		list = append(list, &rpc.Revocation{
			Key: r.Key, Author: r.Author, Reason: r.Reason, UnixMs: r.Time.UnixMilli(), Change: r.Change,
		})
	}

	return list
}

// commitPending commits the pending revocations on top of the newest document. The compare-and-swap in the table lets one
// entry succeed; the others find the key revoked when they catch up.
func (f *Follower) commitPending(ctx context.Context) {
	pending := f.Board.PendingRevocations.Value()

	for _, key := range slices.Sorted(maps.Keys(pending)) {
		if err := f.commitRevocation(ctx, pending[key]); err != nil {
			logger.WithFields(logrus.Fields{"key": key}).WithError(err).Warn("failed to commit a pending revocation")
			return
		}
	}
}

func (f *Follower) commitRevocation(ctx context.Context, revocation board.Revocation) error {
	d := f.Board.Document.Value()
	key, ok := d.Keys[revocation.Key]

	// An unknown key was granted in a version that this process has not reached.
	if !ok || key.Revoked {
		return nil
	}

	change, err := RevokeChange(d, revocation)
	if err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	next, err := f.Store.Commit(ctx, d, change)
	if err != nil {
		return err
	}

	f.ApplyCommitted(next, change)

	return nil
}

// RevokeChange returns the change that revokes a key on top of a document.
func RevokeChange(d *document.Document, revocation board.Revocation) (document.Change, error) {
	key := d.Keys[revocation.Key]
	key.Revoked = true

	value, err := json.Marshal(key)
	if err != nil {
		return document.Change{}, errors.Wrap(err, "encode key")
	}

	return document.Change{
		Version: d.Version + 1, ID: revocation.Change, Author: revocation.Author, Time: revocation.Time,
		Reason: revocation.Reason, Edits: []document.Edit{{Section: document.SectionKey, Name: revocation.Key, Value: value}},
	}, nil
}
