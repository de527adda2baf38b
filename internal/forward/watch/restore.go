package watch

import "github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"

// dropOutdated returns the items of a topic that was read after the store was restored from a copy, without those that this
// process knows to be outdated: a server that has left since the copy was made, or has begun to drain, and evacuations. They count
// again once they are written anew, since what the operator and the servers wrote since the copy is written again.
func dropOutdated(items []Item, servers *fleet.Fleet) []Item {
	kept := make([]Item, 0, len(items))

	for _, item := range items {
		switch i := item.(type) {
		case ServerListed:
			if servers.HasLeft(i.Server) {
				continue
			}

			known, ok := servers.Find(i.Server.ID)
			if ok && known.StartedAt == i.Server.StartedAt {
				i.Server.Draining = i.Server.Draining || known.Draining
			}

			kept = append(kept, i)
		case EvacuationChanged:
		default:
			kept = append(kept, item)
		}
	}

	return kept
}
