package keys

import (
	"sync/atomic"

	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// Lookup finds keys in the document on the board and rebuilds its index when the document changes.
type Lookup struct {
	Board *board.Board

	index atomic.Pointer[Index]
}

// Find returns what is known of a presented key; without a document every key is unknown.
func (l *Lookup) Find(key string) Result {
	// The revocations are read before the document: a committed one is in the document before it leaves PendingRevocations.
	revoked := l.Board.PendingRevocations.Value()

	document := l.Board.Document.Value()
	if document == nil {
		return Result{State: StateUnknown}
	}

	index := l.index.Load()

	// Two calls may build the same index at once, which is harmless.
	if index == nil || index.version != document.Version {
		index = NewIndex(document)
		l.index.Store(index)
	}

	return index.Find(key, revoked)
}

// State returns the state of a key by its id.
func (l *Lookup) State(id string) State {
	revoked := l.Board.PendingRevocations.Value()

	document := l.Board.Document.Value()
	if document == nil {
		return StateUnknown
	}

	return StateOf(document, revoked, id)
}
