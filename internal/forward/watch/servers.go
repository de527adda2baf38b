package watch

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
)

// removalDelay is how long after an outage or a restore of the store servers that vanished from the list stay in use: servers that are alive are
// listed again by then.
const removalDelay = 2 * time.Second

// The changes of a row of the list of servers, in the log.
const (
	rowListed  = "listed"
	rowRemoved = "removed"
)

// serverUpdate is what the rows of a batch make of the list of servers.
type serverUpdate struct {
	// full is true if the batch is the whole list, and restored if it is the first one since the store was restored from a copy.
	full, restored bool
	// removeAt is when servers are removed that vanished from the list.
	removeAt time.Time
	// changes are those of the fleet in order, and used holds the ids of the servers that are listed in them.
	changes []fleet.Change
	used    map[string]bool
	// changed is true if a row states something else than before.
	changed bool
}

// applyServers applies rows of the list of servers in their order: a server may be removed and listed again in one batch, or the reverse. It
// reports whether a row states something else than before. That counts although this process makes nothing of it: others may.
func (w *Watcher) applyServers(now time.Time, batch Batch, full, restored bool) bool {
	if full || w.rows == nil {
		w.rows = serverRows{}
	}

	update := &serverUpdate{full: full, restored: restored, removeAt: w.removeAt(now, restored), used: map[string]bool{}}

	for _, item := range batch.Items {
		switch i := item.(type) {
		case ServerListed:
			w.listServer(update, i)
		case ServerRemoved:
			w.removeServer(update, i)
		case ConfigChanged, EvacuationChanged, AdapterAnnounced, UnreadableRow:
		}
	}

	w.Fleet.Update(now, update.changes...)

	if full {
		w.Fleet.Retain(now, update.used, update.removeAt)
		w.seen.retain(w.Fleet.Remembers)
		w.logList(batch, len(update.used))
	}

	return update.changed
}

// removeAt returns when servers that have vanished from the list are removed.
func (w *Watcher) removeAt(now time.Time, restored bool) time.Time {
	if restored {
		return now.Add(removalDelay)
	}

	since, failed := w.Progress.SinceRegained()
	if !failed {
		return now
	}

	return now.Add(removalDelay - since)
}

// listServer adds a listed row to an update, unless it is known to be outdated.
func (w *Watcher) listServer(update *serverUpdate, row ServerListed) {
	w.recordChange(update, row.Server.ID, row.Version, rowListed, w.rows.put(row.Server))

	if !update.restored || !isOutdated(row, w.Fleet, w.seen) {
		update.used[row.Server.ID] = true
		update.changes = append(update.changes, fleet.Listed{Server: keepDraining(row.Server, w.Fleet, update.restored)})
	}

	w.seen.record(row.Server.ID, row.Version)
}

// removeServer adds the removal of a row to an update.
func (w *Watcher) removeServer(update *serverUpdate, row ServerRemoved) {
	w.recordChange(update, row.ID, row.Version, rowRemoved, w.rows.remove(row.ID))

	update.changes = append(update.changes, fleet.Removed{ID: row.ID, At: update.removeAt})
}

// recordChange records whether a row states something else than before, and logs it if so. The rows of a whole list are not logged.
func (w *Watcher) recordChange(update *serverUpdate, id string, version int64, change string, differs bool) {
	if !differs {
		return
	}

	update.changed = true

	if update.full {
		return
	}

	w.Log.WithFields(logrus.Fields{"server": id, "version": version, "change": change, "reader": w.Progress.IsReader()}).Info("row of a server changed")
}

// logList logs that the whole list was read. Rows that are not used are outdated ones of a copy of the store.
func (w *Watcher) logList(batch Batch, used int) {
	w.Log.WithFields(logrus.Fields{
		"version": batch.Version, "era": batch.Era, "previous": w.era, "listed": len(w.rows), "used": used, "reader": w.Progress.IsReader(),
	}).Info("list of servers read")
}
