package entry

import (
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
)

// soleQuorum is the number of agents of a service that must state the same version, or all if there are fewer.
const soleQuorum = 3

// soleClaims holds which agents state that all servers of their service had one software version before this entry read the list.
type soleClaims struct {
	mu sync.Mutex
	// versions is keyed by service, and then by the id of the server whose agent states it.
	versions map[string]map[string]string
}

// add records the statement of the agent of a server, and returns the number of agents that state the same, or 0 if another states another
// version.
func (c *soleClaims) add(server fleet.Server, version string) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.versions == nil {
		c.versions = map[string]map[string]string{}
	}

	stated := c.versions[server.Service]
	if stated == nil {
		stated = map[string]string{}
		c.versions[server.Service] = stated
	}

	stated[server.ID] = version

	for _, other := range stated {
		if other != version {
			return 0
		}
	}

	return len(stated)
}

// ObserveSoleVersion records the only software version that the servers of a service had before this entry has read the list, as the agent
// of a server knows it.
func (e *Entry) ObserveSoleVersion(server fleet.Server, version string) {
	now := time.Now()

	if _, complete := e.Fleet.Versions(now, server.Service); complete {
		return
	}

	config := e.config.Load()
	if config == nil {
		return
	}

	if e.soleClaims.add(server, version) >= min(soleQuorum, e.listedAgents(config)) {
		e.Fleet.AdoptVersion(now, server.Service, version)
	}
}
