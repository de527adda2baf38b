// Package startup decides when an entry that has started may use the configuration that it has read. The store may be back from an older
// copy, so that the configuration in it was replaced before; agents know the newest version that any entry has sent them.
package startup

import (
	"sync"
	"time"
)

const (
	// enoughPeers is the number of agents whose word suffices: every entry sends its configuration to every agent, so that one would, but
	// for agents that have just started themselves.
	enoughPeers = 3
	// learnTimeout is how long an entry waits for the word of agents that may be gone, frozen or cut off.
	learnTimeout = time.Second
	// rereadDelay is when a client may come back if the store lacks the newest configuration, which the operator writes again.
	rereadDelay = time.Second
)

// Gate holds requests back until the configuration is known to be as new as that of the agents. The zero value is ready to use. It is safe
// for concurrent use.
type Gate struct {
	mu sync.Mutex
	// since is when agents were first waited for; zero before.
	since time.Time
	// told holds the agents that have told their version, and newest the highest of these.
	told   map[string]bool
	newest int64
	// passed is true once a configuration was new enough; the entry learns of later ones from the store.
	passed bool
}

// Learn records the newest version of the configuration that an agent knows; 0 for none.
func (g *Gate) Learn(agent string, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.passed {
		return
	}

	if g.told == nil {
		g.told = map[string]bool{}
	}

	g.told[agent] = true
	g.newest = max(g.newest, version)
}

// Passed reports whether a configuration was new enough before; Check is not needed then.
func (g *Gate) Passed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.passed
}

// Check returns how long to wait until a configuration of a version may be used, given the number of agents that are listed; 0 if it may be
// used now. Without agents there is nobody to ask.
func (g *Gate) Check(now time.Time, agents int, version int64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.passed {
		return 0
	}

	if g.since.IsZero() {
		g.since = now
	}

	left := learnTimeout - now.Sub(g.since)
	if len(g.told) < min(agents, enoughPeers) && left > 0 {
		return left
	}

	if version < g.newest {
		return rereadDelay
	}

	g.passed = true

	return 0
}

// Newest returns the newest version that agents have told.
func (g *Gate) Newest() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.newest
}
