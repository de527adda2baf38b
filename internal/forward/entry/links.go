package entry

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

const (
	// syncPeriod is the longest time between two reads of the list of servers.
	syncPeriod = time.Second
	// rateShare is the used fraction of the rate limit of a cold server.
	rateShare = 0.8
	// memoryShare is the fraction of a model server's KV cache that running requests may use.
	memoryShare = 0.95
)

// Wake makes SyncLinks run at once; it is called when the list of servers or the configuration has changed.
func (e *Entry) Wake() {
	select {
	case e.Changed <- struct{}{}:
	default:
	}
}

// SyncLinks keeps one link to the agent of each listed model server until the context ends.
func (e *Entry) SyncLinks(ctx context.Context) {
	e.toldVersions = map[string][]string{}

	for ctx.Err() == nil {
		e.syncOnce(ctx)
		e.confirmEnds()
		e.PlainClient.Sweep(time.Now())
		e.limits.retain(e.isListed)
		e.plainLoads.retain(e.isListed)

		select {
		case <-ctx.Done():
		case <-e.Changed:
		case <-time.After(syncPeriod):
		}
	}
}

// isListed reports whether a server is in the list.
func (e *Entry) isListed(id string) bool {
	_, ok := e.Fleet.Find(id)

	return ok
}

// WithoutAgents reports whether the list has been read and names no model server, each of which has an agent.
func (e *Entry) WithoutAgents() bool {
	config := e.config.Load()
	if config == nil || !e.Fleet.HasSynced() {
		return false
	}

	return !slices.ContainsFunc(e.Fleet.All(), func(server fleet.Server) bool { return config.Services[server.Service].Engine != nil })
}

// syncOnce passes the model servers of the list to Links.
func (e *Entry) syncOnce(ctx context.Context) {
	config := e.config.Load()
	if config == nil {
		return
	}

	var modelServers []fleet.Server

	for _, server := range e.Fleet.All() {
		if config.Services[server.Service].Engine != nil {
			modelServers = append(modelServers, server)
		}
	}

	e.Links.Sync(ctx, modelServers)

	if e.versionsChanged(config) {
		e.Links.NotifySettings()
	}
}

// versionsChanged reports whether the software versions of the services have changed since the last call.
func (e *Entry) versionsChanged(config *catalog.Config) bool {
	now := time.Now()
	changed := false

	for name := range config.Services {
		versions, _ := e.Fleet.Versions(now, name)
		if !slices.Equal(versions, e.toldVersions[name]) {
			changed = true
		}

		e.toldVersions[name] = versions
	}

	return changed
}

// AgentSettings returns the settings for the agent of a model server; false if the server is not in the configuration.
// The rate limit of a cold server is its configured rate times coldFactor plus coldExtra.
func (e *Entry) AgentSettings(server fleet.Server, self string, coldFactor, coldExtra float64) (*relay.Settings, bool) {
	config := e.config.Load()
	if config == nil {
		return nil, false
	}

	service, ok := config.Services[server.Service]
	if !ok || service.Engine == nil {
		return nil, false
	}

	engine := service.Engine
	settings := &relay.Settings{
		ConfigVersion: config.Version,
		Slots:         int32(engine.Slots),
		Places:        int32(engine.AdapterSlots),
		CapacityMb:    engine.CapacityMB,
		Memory:        int64(memoryShare * float64(engine.KVCapacity)),
		Entry:         self,
	}

	if service.ColdRate > 0 {
		settings.Rate = int32(rateShare * (service.ColdRate*coldFactor + coldExtra))
	}

	for _, model := range engine.Models {
		settings.Models = append(settings.Models, &relay.Model{Name: model.Name, SizeMb: model.WeightsMB, AdapterMb: model.AdapterMB})
	}

	for _, account := range config.Accounts {
		if account.Rate > 0 {
			settings.Accounts = append(settings.Accounts, &relay.Account{Name: account.Name, Rate: account.Rate, Burst: account.Burst})
		}
	}

	return settings, true
}

// AwaitLimits waits for the first configuration and returns its limits for clients; false if there is none within wait.
func (e *Entry) AwaitLimits(ctx context.Context, wait time.Duration) (catalog.Limits, bool) {
	const poll = 10 * time.Millisecond

	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(poll) {
		if config := e.config.Load(); config != nil {
			return config.Limits, true
		}
	}

	return catalog.Limits{}, false
}
