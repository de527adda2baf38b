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
	// minStateInterval is the shortest time between two state messages to one entry, and maxStateInterval the longest.
	minStateInterval = 80 * time.Millisecond
	maxStateInterval = 300 * time.Millisecond
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

	go func() { failed <- a.receiveSettings(stream, peer) }()

	for {
		if err := stream.Send(a.state(peer)); err != nil {
			return errors.Wrap(err, "send state")
		}

		time.Sleep(minStateInterval)

		select {
		case <-stream.Context().Done():
			return errors.Wrap(stream.Context().Err(), "watch")
		case err := <-failed:
			return err
		case <-changed:
		case <-time.After(maxStateInterval - minStateInterval):
		}
	}
}

// receiveSettings applies the settings from one entry until the stream fails.
func (a *Agent) receiveSettings(stream relay.DRPCRelay_WatchStream, peer *freshness.PeerClock) error {
	for {
		settings, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive settings")
		}

		peer.Observe(time.Duration(settings.GetClockMs())*time.Millisecond, freshness.Clock())
		a.configure(settings)
	}
}

// configure applies the settings from an entry unless settings of a newer configuration version were received before.
func (a *Agent) configure(settings *relay.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if settings.GetConfigVersion() < a.configVersion {
		return
	}

	a.recordConfirmation(settings)
	a.configVersion = settings.GetConfigVersion()

	limits := schedule.Limits{
		Slots:           int(settings.GetSlots()),
		AdapterSlots:    int(settings.GetPlaces()),
		KVCapacity:      settings.GetMemory(),
		CapacityMB:      settings.GetCapacityMb(),
		StartsPerSecond: int(settings.GetRate()),
	}

	for _, model := range settings.GetModels() {
		limits.Models = append(limits.Models, schedule.Model{Name: model.GetName(), WeightsMB: model.GetSizeMb(), AdapterMB: model.GetAdapterMb()})
	}

	a.scheduler.Configure(limits)

	for _, account := range settings.GetAccounts() {
		a.accounts.Set(time.Now(), account.GetName(), account.GetRate(), account.GetBurst())
	}

	a.wakeControl()
}

// recordConfirmation records when the store confirmed the configuration version of the settings to the entry, if that is
// later than the known confirmation of that version. The lock must be held.
func (a *Agent) recordConfirmation(settings *relay.Settings) {
	if settings.GetConfigVersion() > a.configVersion {
		a.hasConfirmed = false
	}

	at, ok := convert.LocalTimeFromWire(settings.GetConfirmed())
	if !ok || a.hasConfirmed && at <= a.confirmedAt {
		return
	}

	a.confirmedAt, a.hasConfirmed = at, true
}

// state returns the state of the model server and the confirmation of the configuration as a message for one entry.
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
		ConfigVersion: a.configVersion,
	}

	if peerTime, ok := peer.ToPeer(a.confirmedAt); ok && a.hasConfirmed {
		wire.Confirmed = convert.PeerTimeToWire(peerTime)
	}

	for _, held := range state.Adapters {
		wire.Adapters = append(wire.Adapters, &relay.Adapter{
			Model: held.Adapter.Model, Name: held.Adapter.Name, Version: held.Version, Loading: held.Loading,
		})
	}

	return wire
}
