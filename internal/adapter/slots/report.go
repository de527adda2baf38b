package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// Reset forgets every resident adapter, because the engine restarted empty.
func (s *Slots) Reset() {
	s.prepare()
	clear(s.resident)
	clear(s.removed)
	s.loading = nil
	s.closing = nil
	s.epoch++
}

// Report brings residency in line with the engine's report, which may lag. An adapter that this process did not load
// counts as in use until a report shows that nothing runs on it.
func (s *Slots) Report(now time.Time, report engine.Report) {
	s.prepare()
	s.forget(now)

	listed := map[engine.Adapter]bool{}

	for _, adapter := range report.Resident {
		listed[adapter] = true

		if _, recent := s.removed[adapter]; s.resident[adapter] == nil && !recent {
			s.add(now, adapter).suspect = true
		}
	}

	used := map[engine.Adapter]bool{}
	for _, running := range report.Running {
		used[running.Adapter] = true
	}

	for adapter, known := range s.resident {
		if now.Sub(known.since) <= reportLag {
			continue
		}

		known.suspect = known.suspect && used[adapter]

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

// forget drops removals and load failures that no longer matter.
func (s *Slots) forget(now time.Time) {
	for adapter, at := range s.removed {
		if now.Sub(at) > reportLag {
			delete(s.removed, adapter)
		}
	}

	for adapter, w := range s.wanted {
		if len(w.waiters) == 0 && now.Sub(w.after) > lastBackoff {
			delete(s.wanted, adapter)
		}
	}
}
