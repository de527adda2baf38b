package keys_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// Guards against keys that repeat or lack their prefix.
func TestGenerate(t *testing.T) {
	key, id := keys.Generate()
	other, otherID := keys.Generate()

	assert.Assert(t, strings.HasPrefix(key, keys.Prefix))
	assert.Equal(t, len(key), len(keys.Prefix)+43)
	assert.Assert(t, key != other && id != otherID)
	assert.Assert(t, document.IsName(id))
}

// Guards against a key that is still valid after its revocation in the document or a pending revocation, and against an index
// that is not rebuilt when the document changes.
func TestLookup(t *testing.T) {
	b := &board.Board{}
	lookup := &keys.Lookup{Board: b}
	check := func(key string, want keys.State) {
		t.Helper()

		found := lookup.Find(key)
		assert.Equal(t, found.State, want)

		if found.State != keys.StateUnknown {
			assert.Equal(t, lookup.State(found.ID), want)
			assert.Equal(t, found.Account, "pistas")
		}
	}
	publish := func(version int64, revoked bool) {
		b.Document.Set(&document.Document{Version: version, Keys: map[string]document.Key{
			"key-a": {Hash: keys.Hash("secret-a"), Account: "pistas", Revoked: revoked},
			"key-b": {Hash: keys.Hash("secret-b"), Account: "pistas"},
		}})
	}

	check("secret-a", keys.StateUnknown)
	publish(1, false)
	check("secret-a", keys.StateValid)
	check("secret-b", keys.StateValid)
	check("secret-c", keys.StateUnknown)
	check(keys.Hash("secret-a"), keys.StateUnknown)

	b.PendingRevocations.Set(map[string]board.Revocation{"key-b": {Key: "key-b"}})
	check("secret-b", keys.StateRevoked)

	publish(2, true)
	check("secret-a", keys.StateRevoked)
}
