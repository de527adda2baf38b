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

// Revoke holds a revocation that the table did not accept, and spreads it to every listed entry. It is committed by
// whichever entry reaches the table first.
func (f *Follower) Revoke(ctx context.Context, revocation board.Revocation) {
	f.init()
	f.holdOne(revocation)
	f.SyncAll(ctx)
}

// AddPendingRevocations adds the pending revocations of another process; they stay until the document contains them.
func (f *Follower) AddPendingRevocations(revocations []*rpc.Revocation) {
	for _, r := range revocations {
		f.holdOne(board.Revocation{
			Key: r.GetKey(), Author: r.GetAuthor(), Reason: r.GetReason(),
			Time: time.UnixMilli(r.GetUnixMs()).UTC(), Change: r.GetChange(),
		})
	}
}

// holdOne adds a revocation unless it is committed. The first one known for a key stays, so that all entries that try to
// commit it use the same change id in most cases.
func (f *Follower) holdOne(revocation board.Revocation) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if d := f.Board.Document.Value(); d != nil && d.Keys[revocation.Key].Revoked {
		return
	}

	held := f.Board.PendingRevocations.Value()
	if _, ok := held[revocation.Key]; ok {
		return
	}

	next := maps.Clone(held)
	if next == nil {
		next = map[string]board.Revocation{}
	}

	next[revocation.Key] = revocation
	f.Board.PendingRevocations.Set(next)
}

// dropCommitted removes the revocations that the document contains. The caller has set the document before.
func (f *Follower) dropCommitted(d *document.Document) {
	held := f.Board.PendingRevocations.Value()
	next := maps.Clone(held)

	maps.DeleteFunc(next, func(key string, _ board.Revocation) bool { return d.Keys[key].Revoked })

	if len(next) != len(held) {
		f.Board.PendingRevocations.Set(next)
	}
}

// RevocationMessages returns the messages that carry pending revocations to another process.
func RevocationMessages(held map[string]board.Revocation) []*rpc.Revocation {
	list := make([]*rpc.Revocation, 0, len(held))

	for _, key := range slices.Sorted(maps.Keys(held)) {
		r := held[key]
		list = append(list, &rpc.Revocation{
			Key: r.Key, Author: r.Author, Reason: r.Reason, UnixMs: r.Time.UnixMilli(), Change: r.Change,
		})
	}

	return list
}

// commitHeld commits the held revocations on top of the newest document. The compare-and-swap lets one entry win; the
// others find the key revoked when they catch up.
func (f *Follower) commitHeld(ctx context.Context) {
	held := f.Board.PendingRevocations.Value()

	for _, key := range slices.Sorted(maps.Keys(held)) {
		if err := f.commitOne(ctx, held[key]); err != nil {
			logger.WithFields(logrus.Fields{"key": key}).WithError(err).Warn("held revocation is not committed yet")
			return
		}
	}
}

func (f *Follower) commitOne(ctx context.Context, revocation board.Revocation) error {
	d := f.Board.Document.Value()
	key, ok := d.Keys[revocation.Key]

	// A key that is not known yet was granted in a version that this process has not reached.
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
