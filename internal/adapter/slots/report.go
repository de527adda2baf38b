package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// Reset removes every resident adapter, after a restart of the engine without adapters.
func (s *Slots) Reset() {
	s.init()
	clear(s.resident)
	clear(s.removed)
	s.loading = nil
	s.freeing = nil
	s.epoch++
}

// Report updates the resident adapters from the engine's report, which may lag. An adapter that this process did not load
// counts as in use until a report shows that no request runs on it.
func (s *Slots) Report(now time.Time, report engine.Report) {
	s.init()
	s.deleteExpired(now)

	listed := map[engine.Adapter]bool{}

	for _, adapter := range report.Resident {
		listed[adapter] = true

		if _, recent := s.removed[adapter]; s.resident[adapter] == nil && !recent {
			s.add(now, adapter).externalUse = true
		}
	}

	used := map[engine.Adapter]bool{}
	for _, running := range report.Running {
		used[running.Adapter] = true
	}

	for adapter, found := range s.resident {
		if now.Sub(found.updatedAt) <= reportLag {
			continue
		}

		found.externalUse = found.externalUse && used[adapter]

		if !listed[adapter] {
			s.remove(now, adapter)
		}
	}
}

// Resident returns the resident adapters as adapter@version, sorted, and the epoch of the list.
func (s *Slots) Resident() ([]string, int64) {
	names := make([]string, 0, len(s.resident))
	for adapter := range s.resident {
		names = append(names, adapter.Name+"@"+adapter.Version)
	}

	slices.SortFunc(names, strings.Compare)

	return names, s.Epoch()
}

// Epoch returns the epoch of the resident list; it grows with every change.
func (s *Slots) Epoch() int64 {
	return s.InitialEpoch + s.epoch
}

// deleteExpired deletes removals that reports can no longer lag behind, and load failures whose backoff ended long ago.
func (s *Slots) deleteExpired(now time.Time) {
	for adapter, at := range s.removed {
		if now.Sub(at) > reportLag {
			delete(s.removed, adapter)
		}
	}

	for adapter, w := range s.pending {
		if len(w.waiters) == 0 && now.Sub(w.retryAt) > maxBackoff {
			delete(s.pending, adapter)
		}
	}
}
