package watch

import "github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"

// isOutdated reports whether a row in a list that was read after the store was restored from a copy is known to be outdated: this process has
// read it before, and the server has left since then. A row with another version was written since the restore.
func isOutdated(row ServerListed, servers *fleet.Fleet, seen seenVersions) bool {
	return servers.HasLeft(row.Server) && seen.has(row.Server.ID, row.Version)
}

// keepDraining returns a listed server, which after a restore of the store still drains if it had begun to: draining ends only with a new start.
func keepDraining(server fleet.Server, servers *fleet.Fleet, restored bool) fleet.Server {
	known, ok := servers.Find(server.ID)
	if restored && ok && known.StartedAt == server.StartedAt {
		server.Draining = server.Draining || known.Draining
	}

	return server
}
