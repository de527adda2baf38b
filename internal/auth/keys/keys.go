// Package keys generates API keys and looks them up in the fleet document.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const (
	// Prefix starts every key, so that leaked keys can be recognized.
	Prefix = "cbk-"
	// keyBytes is the length of the random part, 256 bits, which cannot be guessed.
	keyBytes = 32
)

// State is the state of a key; only a valid key may be used.
type State string

// The states of a key.
const (
	StateUnknown State = "unknown"
	StateValid   State = "valid"
	StateRevoked State = "revoked"
)

// Result is the result of a key lookup.
type Result struct {
	State State
	// ID and Account are empty for an unknown key.
	ID      string
	Account string
}

// Generate returns a new key and its id. The key itself is shown once and never stored; the document has only its hash.
func Generate() (key, id string) {
	secret := make([]byte, keyBytes)

	// crypto/rand.Read never fails; it ends the process if the system has no randomness.
	_, _ = rand.Read(secret)

	return Prefix + base64.RawURLEncoding.EncodeToString(secret), ident.New("key")
}

// Hash returns the SHA-256 of a key, in hex.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))

	return hex.EncodeToString(sum[:])
}

// Index is an index of the keys of one document by hash. It is immutable.
//
// The lookup need not take constant time: it compares the SHA-256 of the presented key, and its timing reveals at most a
// part of that hash, from which neither the key nor another key with the same hash can be derived.
type Index struct {
	version int64
	byHash  map[string]Result
}

// NewIndex returns the index of a document.
func NewIndex(d *document.Document) *Index {
	index := &Index{version: d.Version, byHash: make(map[string]Result, len(d.Keys))}

	for id, key := range d.Keys {
		index.byHash[key.Hash] = Result{State: StateOf(d, nil, id), ID: id, Account: key.Account}
	}

	return index
}

// Find returns the id, account and state of a presented key. It takes into account the revocations that the table has not
// accepted yet.
func (i *Index) Find(key string, pendingRevocations map[string]board.Revocation) Result {
	result, ok := i.byHash[Hash(key)]
	if !ok {
		return Result{State: StateUnknown}
	}

	if _, pending := pendingRevocations[result.ID]; pending {
		result.State = StateRevoked
	}

	return result
}

// StateOf returns the state of the key with the id. It takes into account the revocations that the table has not accepted
// yet.
func StateOf(d *document.Document, pendingRevocations map[string]board.Revocation, id string) State {
	key, ok := d.Keys[id]
	if !ok {
		return StateUnknown
	}

	if _, pending := pendingRevocations[id]; pending || key.Revoked {
		return StateRevoked
	}

	return StateValid
}
