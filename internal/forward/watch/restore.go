package watch

import "github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"

// dropOutdated returns the servers of a list that was read after the store was restored from a copy, without those that this process
// knows to be outdated: a row that it has read before, of a server that has left since then. A row with another version was written
// since the restore. A server that had begun to drain still does: it ends only with a new start.
func dropOutdated(rows []ServerListed, servers *fleet.Fleet, seen seenVersions) []ServerListed {
	kept := make([]ServerListed, 0, len(rows))

	for _, row := range rows {
		if servers.HasLeft(row.Server) && seen.has(row.Server.ID, row.Version) {
			continue
		}

		known, ok := servers.Find(row.Server.ID)
		if ok && known.StartedAt == row.Server.StartedAt {
			row.Server.Draining = row.Server.Draining || known.Draining
		}

		kept = append(kept, row)
	}

	return kept
}
