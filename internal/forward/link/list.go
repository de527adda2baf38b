package link

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// listDigest returns the digest of the list by which this entry finds holders; 0 before the first list.
func (l *Links) listDigest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.list
}

// updateList sets the digest of the list by which holders are found, and reports whether it has changed. The lock must be held.
func (l *Links) updateList() bool {
	before := l.list
	l.list = l.digest()

	return l.list != before
}

// digest returns the digest of the ids of the servers that may be holders: those that are listed, or the vanished ones if there are no others. It
// is never 0, which stands for an entry that does not state its list. The lock must be held.
func (l *Links) digest() uint64 {
	hash := xxhash.New()
	vanished := l.allVanished()

	for _, id := range slices.Sorted(maps.Keys(l.links)) {
		if l.links[id].server.Vanished == vanished {
			// Writing to a hash returns no error.
			_, _ = hash.WriteString(id)
			_, _ = hash.WriteString("\x00")
		}
	}

	return max(hash.Sum64(), 1)
}

// allVanished reports whether no server is listed but those that have vanished. The lock must be held.
func (l *Links) allVanished() bool {
	for _, found := range l.links {
		if !found.server.Vanished {
			return false
		}
	}

	return true
}
