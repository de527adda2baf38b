package agent

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

const (
	// statePause is the shortest time between two statements to one entry, and statePeriod the longest.
	statePause  = 80 * time.Millisecond
	statePeriod = 300 * time.Millisecond
)

// Watch implements relay.DRPCRelayServer.
func (a *Agent) Watch(stream relay.DRPCRelay_WatchStream) error {
	changed := make(chan struct{}, 1)

	a.mu.Lock()
	a.watchers[changed] = true
	a.mu.Unlock()

	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()

		delete(a.watchers, changed)
	}()

	failed := make(chan error, 1)
	peer := &freshness.PeerClock{}

	go func() { failed <- a.receive(stream, peer) }()

	for {
		if err := stream.Send(a.state(peer)); err != nil {
			return errors.Wrap(err, "send state")
		}

		time.Sleep(statePause)

		select {
		case <-stream.Context().Done():
			return errors.Wrap(stream.Context().Err(), "watch")
		case err := <-failed:
			return err
		case <-changed:
		case <-time.After(statePeriod - statePause):
		}
	}
}

func (a *Agent) receive(stream relay.DRPCRelay_WatchStream, peer *freshness.PeerClock) error {
	for {
		settings, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive settings")
		}

		peer.Observe(time.Duration(settings.GetClockMs())*time.Millisecond, freshness.Clock())
		a.configure(settings)
	}
}

// configure applies what an entry knows, unless another entry has said something newer.
func (a *Agent) configure(settings *relay.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if settings.GetConfigVersion() < a.version {
		return
	}

	a.confirm(settings)
	a.version = settings.GetConfigVersion()

	limits := schedule.Limits{
		Slots:           int(settings.GetSlots()),
		AdapterSlots:    int(settings.GetPlaces()),
		MemoryTokens:    settings.GetMemory(),
		CapacityMB:      settings.GetCapacityMb(),
		StartsPerSecond: int(settings.GetRate()),
	}

	for _, model := range settings.GetModels() {
		limits.Models = append(limits.Models, schedule.Model{Name: model.GetName(), SizeMB: model.GetSizeMb(), AdapterMB: model.GetAdapterMb()})
	}

	a.scheduler.Configure(limits)

	for _, account := range settings.GetAccounts() {
		a.accounts.Set(time.Now(), account.GetName(), account.GetRate(), account.GetBurst())
	}

	a.poke()
}

// confirm takes when the store confirmed the configuration of the settings to the entry. The lock must be held.
func (a *Agent) confirm(settings *relay.Settings) {
	if settings.GetConfigVersion() > a.version {
		a.known = false
	}

	at, ok := convert.FromMoment(settings.GetConfirmed())
	if !ok || a.known && at <= a.confirmed {
		return
	}

	a.confirmed, a.known = at, true
}

func (a *Agent) state(peer *freshness.PeerClock) *relay.State {
	a.mu.Lock()
	defer a.mu.Unlock()

	state := a.scheduler.State()
	wire := &relay.State{
		Ready:    state.Ready,
		Leaving:  state.Draining,
		Running:  int32(state.Running),
		Backlog:  state.Backlog,
		Models:   state.Models,
		Idle:     int32(state.IdleAdapterSlots),
		Fetching: int32(state.Fetches),
		Entries:  int32(len(a.watchers)),

		ClockMs:       freshness.Clock().Milliseconds(),
		ConfigVersion: a.version,
	}

	if echo, ok := peer.ToPeer(a.confirmed); ok && a.known {
		wire.Confirmed = convert.ToMoment(echo)
	}

	for _, held := range state.Adapters {
		wire.Adapters = append(wire.Adapters, &relay.Adapter{
			Model: held.Adapter.Model, Name: held.Adapter.Name, Version: held.Version, Loading: held.Loading,
		})
	}

	return wire
}
