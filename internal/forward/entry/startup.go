package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
)

// ObserveConfigVersion records the newest version of the configuration that the agent of a server knows.
func (e *Entry) ObserveConfigVersion(server string, version int64) {
	e.startup.Learn(server, version)
}

// startupWait returns how long to wait until a configuration may be used for requests with keys; 0 if it may be used now. It is above 0
// only after the start: the store may be back from an older copy, and agents know better.
func (e *Entry) startupWait(config *catalog.Config) time.Duration {
	if e.startup.Passed() {
		return 0
	}

	wait := e.startup.Check(time.Now(), e.listedAgents(config), config.Version)
	if wait == 0 {
		e.Log.WithFields(logrus.Fields{"config": config.Version, "agents": e.startup.Newest()}).Info("configuration is as new as that of the agents")
	}

	return wait
}

// listedAgents returns the number of listed model servers, each of which has an agent. Before the list is read it is 1.
func (e *Entry) listedAgents(config *catalog.Config) int {
	if !e.Fleet.HasSynced() {
		return 1
	}

	count := 0

	for _, server := range e.Fleet.All() {
		if config.Services[server.Service].Engine != nil {
			count++
		}
	}

	return count
}
