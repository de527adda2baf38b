package agent

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// receiveSettings applies the settings from one entry until the stream fails.
func (a *Agent) receiveSettings(stream relay.DRPCRelay_WatchStream, w *watcher) error {
	for {
		settings, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive settings")
		}

		w.peer.Observe(time.Duration(settings.GetClockMs())*time.Millisecond, freshness.Clock())

		a.observeEntry(w, settings)
		a.recordVerdicts(settings)
		a.configure(settings)

		if settings.GetLeft() {
			a.delist(w.name, settings.GetLeftStartMs())
		}
	}
}

// delist refuses what waits for the process of the model server that is no longer listed according to an entry.
func (a *Agent) delist(entry string, startedAt int64) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.scheduler.Delist(time.Now(), startedAt)
	a.Log.WithField("entry", entry).WithField("born", startedAt).Info("model server is no longer listed, waiting requests are refused")
	a.dispatch()
	a.notifyWatchers()
}

// observeEntry records what an entry knows of other entries and publishes about the store.
func (a *Agent) observeEntry(w *watcher, settings *relay.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()

	w.entries = int(settings.GetEntries())
	w.changes = settings.GetChanges()
	w.list = settings.GetList()

	if name := settings.GetEntry(); name != "" {
		w.name = name
	}

	a.history.Observe(time.Now(), w.name, settings.GetVersions(), settings.GetComplete())

	if confirmation, ok := convert.ConfirmationFromWire(settings.GetOperator()); ok {
		w.publishedAt, w.published = confirmation.At, true

		if a.operator.Observe(confirmation) {
			a.notifyUrgent()
		}
	}

	if confirmation, ok := convert.ConfirmationFromWire(settings.GetServers()); ok {
		a.servers.Observe(confirmation)
	}

	a.updateEntries()
}

// configure applies the settings from an entry unless settings of a newer configuration version were received before.
func (a *Agent) configure(settings *relay.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if settings.GetConfigVersion() < a.configVersion {
		return
	}

	a.configVersion = settings.GetConfigVersion()

	if settings.GetUnchanged() {
		return
	}

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
