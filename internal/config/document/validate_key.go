package document

import (
	"encoding/json"
	"maps"
	"slices"
)

// checkKeyEdit checks that the state of a key only changes from absent to valid to revoked. A key cannot be deleted, because
// its id or hash could then be granted again.
func (c *checker) checkKeyEdit(from *Document, edit Edit) {
	id := edit.Name
	deleted := len(edit.Value) == 0
	old, existed := from.Keys[id]
	if !existed {
		if deleted {
			c.problems.add(SectionKey, id, "", "there is no such key")
		}

		return
	}

	if deleted {
		c.problems.add(SectionKey, id, "", "a key cannot be deleted; revoke it")
		return
	}

	if old.Revoked && !wantsRevoked(edit) {
		c.problems.add(SectionKey, id, "revoked", "a revoked key cannot become valid again; grant another key")
	}

	now := c.document.Keys[id]

	if now.Hash != old.Hash {
		c.problems.add(SectionKey, id, "hash", "cannot be changed; grant another key")
	}

	if now.Account != old.Account {
		c.problems.add(SectionKey, id, "account", "cannot be changed; grant another key")
	}
}

// wantsRevoked reports whether the edit sets the key to revoked. It reads the edit, because Apply keeps a revoked key revoked.
func wantsRevoked(edit Edit) bool {
	var wanted Key

	return json.Unmarshal(edit.Value, &wanted) == nil && wanted.Revoked
}

func (c *checker) checkKey(id string, key Key) {
	if !validHash(key.Hash) {
		c.problems.add(SectionKey, id, "hash", "want the SHA-256 in 64 lower-case hex digits")
	}

	// The account of a revoked key may be deleted.
	if _, ok := c.document.Accounts[key.Account]; !ok && !key.Revoked {
		c.problems.add(SectionKey, id, "account", "there is no account %q", key.Account)
	}
}

func (c *checker) checkUniqueHashes() {
	keyByHash := make(map[string]string, len(c.document.Keys))

	for _, id := range slices.Sorted(maps.Keys(c.document.Keys)) {
		hash := c.document.Keys[id].Hash
		if other, ok := keyByHash[hash]; ok {
			c.problems.add(SectionKey, id, "hash", "is already the hash of key %q", other)
		}

		keyByHash[hash] = id
	}
}
