package watch

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"
)

// applyOperator applies rows of the operator's topic.
func (w *Watcher) applyOperator(now time.Time, batch Batch, full, restored bool) {
	var rows []EvacuationChanged

	for _, item := range batch.Items {
		switch i := item.(type) {
		case ServerListed, ServerRemoved:
		case ConfigChanged:
			if w.Target.Apply(i.Config) {
				w.Log.WithField("config", i.Config.Version).Info("configuration in force")
			}
		case EvacuationChanged:
			rows = append(rows, i)
		case AdapterAnnounced:
			w.Target.RequireVersion(i.Model, i.Adapter, i.Version)
		case UnreadableRow:
			w.Log.WithField("key", i.Key).WithError(i.Err).Debug("row of the store cannot be decoded")
		}
	}

	w.applyEvacuations(now, rows, full, restored)
}

func (w *Watcher) applyEvacuations(now time.Time, rows []EvacuationChanged, full, restored bool) {
	before := w.evacuations.active

	if full {
		w.evacuations.list(now, rows, restored)
	} else {
		for _, row := range rows {
			w.evacuations.change(now, row)
		}
	}

	if maps.Equal(before, w.evacuations.active) {
		return
	}

	w.Log.WithFields(logrus.Fields{"domains": w.evacuations.describe(now), "restored": restored}).Info("evacuated failure domains")
	w.Fleet.Evacuate(w.evacuations.active)
}
