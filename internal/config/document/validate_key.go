package document

import (
	"maps"
	"slices"
)

// keyEdit checks that a key only goes from absent to valid to revoked. A key is never deleted, because its id or hash
// could then be granted again.
func (c *checker) keyEdit(from *Document, id string, deleted bool) {
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

	now := c.document.Keys[id]

	if now.Hash != old.Hash {
		c.problems.add(SectionKey, id, "hash", "cannot be changed; grant another key")
	}

	if now.Account != old.Account {
		c.problems.add(SectionKey, id, "account", "cannot be changed; grant another key")
	}
}

func (c *checker) key(id string, key Key) {
	if !validHash(key.Hash) {
		c.problems.add(SectionKey, id, "hash", "want the SHA-256 in 64 lower-case hex digits")
	}

	// A revoked key may outlive its account.
	if _, ok := c.document.Accounts[key.Account]; !ok && !key.Revoked {
		c.problems.add(SectionKey, id, "account", "there is no account %q", key.Account)
	}
}

func (c *checker) sameHashes() {
	owner := make(map[string]string, len(c.document.Keys))

	for _, id := range slices.Sorted(maps.Keys(c.document.Keys)) {
		hash := c.document.Keys[id].Hash
		if other, ok := owner[hash]; ok {
			c.problems.add(SectionKey, id, "hash", "is the hash of key %q as well", other)
		}

		owner[hash] = id
	}
}
