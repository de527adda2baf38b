// Package keys generates callers' keys and looks them up in the fleet document.
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
	// Prefix starts every key, so that a leaked one is recognised.
	Prefix = "cbk-"
	// keyBytes is 256 bits, far more than can be guessed.
	keyBytes = 32
)

// State says whether a key may be used.
type State string

// The states of a key.
const (
	StateUnknown State = "unknown"
	StateValid   State = "valid"
	StateRevoked State = "revoked"
)

// Result is what is known of a key.
type Result struct {
	State State
	// ID and Account are empty for an unknown key.
	ID      string
	Account string
}

// Generate returns a new key and its id. The key is shown once and stored nowhere.
func Generate() (key, id string) {
	random := make([]byte, keyBytes)

	// crypto/rand.Read never fails; it ends the process if the system has no randomness.
	_, _ = rand.Read(random)

	return Prefix + base64.RawURLEncoding.EncodeToString(random), ident.New("key")
}

// Hash returns the SHA-256 of a key, in hex.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))

	return hex.EncodeToString(sum[:])
}

// Index finds keys of one document by hash. It is immutable.
//
// The lookup need not take constant time: what it compares is the SHA-256 of the presented key, and its timing tells at
// most a part of that hash, from which neither the key nor another key with the same hash can be derived.
type Index struct {
	version int64
	byHash  map[string]Result
}

// NewIndex builds the index of a document.
func NewIndex(d *document.Document) *Index {
	index := &Index{version: d.Version, byHash: make(map[string]Result, len(d.Keys))}

	for id, key := range d.Keys {
		index.byHash[key.Hash] = Result{State: StateOf(d, nil, id), ID: id, Account: key.Account}
	}

	return index
}

// Find returns what is known of a presented key, with the revocations that the table has not accepted yet.
func (i *Index) Find(key string, revoked map[string]board.Revocation) Result {
	result, ok := i.byHash[Hash(key)]
	if !ok {
		return Result{State: StateUnknown}
	}

	if _, held := revoked[result.ID]; held {
		result.State = StateRevoked
	}

	return result
}

// StateOf returns the state of a key by its id.
func StateOf(d *document.Document, revoked map[string]board.Revocation, id string) State {
	key, ok := d.Keys[id]
	if !ok {
		return StateUnknown
	}

	if _, held := revoked[id]; held || key.Revoked {
		return StateRevoked
	}

	return StateValid
}
