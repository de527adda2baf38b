package watch

import "github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"

// serverRows holds what the rows of the list of servers state, as they were read last. It is what the store has, whatever this process makes of
// it: the fleet leaves out rows that are known to be outdated, and keeps servers whose rows may have expired.
type serverRows map[string]fleet.Server

// put records a row, and reports whether it states something else than before.
func (r serverRows) put(server fleet.Server) bool {
	before, ok := r[server.ID]
	r[server.ID] = server

	return !ok || before != server
}

// remove records that a row was removed, and reports whether there was one.
func (r serverRows) remove(id string) bool {
	_, ok := r[id]
	delete(r, id)

	return ok
}
