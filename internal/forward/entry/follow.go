package entry

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

const (
	// followPeriod is the longest time between two looks at the list of servers.
	followPeriod = time.Second
	// rateShare is the part of a cold server's bound that is used.
	rateShare = 0.8
	// memoryShare is the part of a server's memory that running requests may hold.
	memoryShare = 0.95
)

// Wake says that the list of servers or the configuration has changed.
func (e *Entry) Wake() {
	select {
	case e.Changed <- struct{}{}:
	default:
	}
}

// SyncLinks keeps one link to the agent of each listed model server until the context ends.
func (e *Entry) SyncLinks(ctx context.Context) {
	for ctx.Err() == nil {
		e.sync(ctx)
		e.PlainClient.Sweep(time.Now())

		select {
		case <-ctx.Done():
		case <-e.Changed:
		case <-time.After(followPeriod):
		}
	}
}

func (e *Entry) sync(ctx context.Context) {
	config := e.config.Load()
	if config == nil {
		return
	}

	var engines []fleet.Server

	for _, server := range e.Fleet.All() {
		if config.Services[server.Service].Engine != nil {
			engines = append(engines, server)
		}
	}

	e.Links.Sync(ctx, engines)
}

// AgentSettings returns what the agent beside a server needs to know; false if the configuration does not tell.
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
		Places:        int32(engine.MaxAdapters),
		CapacityMb:    engine.WeightsMB,
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

// AwaitLimits returns the limits for clients once there is a configuration; false if there is none in time.
func (e *Entry) AwaitLimits(ctx context.Context, wait time.Duration) (catalog.Limits, bool) {
	const poll = 10 * time.Millisecond

	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(poll) {
		if config := e.config.Load(); config != nil {
			return config.Limits, true
		}
	}

	return catalog.Limits{}, false
}
