package link

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agreement"
)

// statedList returns what agents are told of the list by which this entry finds holders: its digest, 0 before the first list, and NoHolder while
// this entry takes from no holder.
func (l *Links) statedList() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.behind {
		return agreement.NoHolder
	}

	return l.list
}

// updateList sets the digest of the list by which holders are found, and whether this entry could not read the newest one, and reports whether
// either has changed. The lock must be held.
func (l *Links) updateList() bool {
	list, behind := l.list, l.behind
	l.list = l.digest()
	l.behind = l.Servers != nil && l.Servers.BehindFor() > maxBehind

	return l.list != list || l.behind != behind
}

// digest returns the digest of the ids of the servers that may be holders: those that are listed, or the vanished ones if there are no others. It
// is neither 0, which stands for an entry that does not state its list, nor NoHolder. The lock must be held.
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

	return min(max(hash.Sum64(), 1), agreement.NoHolder-1)
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
