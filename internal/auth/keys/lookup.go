package keys

import (
	"sync/atomic"

	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// Lookup finds keys in the current document and rebuilds its index when the document changes. It is safe for concurrent use.
type Lookup struct {
	Board *board.Board

	index atomic.Pointer[Index]
}

// Find returns the id, account and state of a presented key; without a document every key is unknown.
func (l *Lookup) Find(key string) Result {
	// The revocations are read before the document: a committed revocation is in the document before it is removed from
	// PendingRevocations.
	pending := l.Board.PendingRevocations.Value()

	document := l.Board.Document.Value()
	if document == nil {
		return Result{State: StateUnknown}
	}

	index := l.index.Load()

	// Concurrent calls may build the same index, which is harmless.
	if index == nil || index.version != document.Version {
		index = NewIndex(document)
		l.index.Store(index)
	}

	return index.Find(key, pending)
}

// State returns the state of the key with the id; without a document every key is unknown.
func (l *Lookup) State(id string) State {
	pending := l.Board.PendingRevocations.Value()

	document := l.Board.Document.Value()
	if document == nil {
		return StateUnknown
	}

	return StateOf(document, pending, id)
}
