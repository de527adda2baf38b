package slots

import (
	"math"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// victim returns the least frequently used adapter that nothing uses.
func (s *Slots) victim(now time.Time) (engine.Adapter, bool) {
	return s.least(now, func(candidate *slot) bool { return candidate.pins == 0 && !candidate.suspect })
}

// least returns the least frequently used adapter among those that are eligible.
func (s *Slots) least(now time.Time, eligible func(candidate *slot) bool) (engine.Adapter, bool) {
	var (
		best  engine.Adapter
		score float64
		found bool
	)

	for adapter, candidate := range s.resident {
		if !eligible(candidate) {
			continue
		}

		uses := candidate.frequency(now, s.halfLife())
		tied := found && uses == score && older(candidate, adapter, s.resident[best], best)

		if !found || uses < score || tied {
			best, score, found = adapter, uses, true
		}
	}

	return best, found
}

// older decides between equally frequent adapters: the one whose last use is longer ago, or else the first by name.
func older(a *slot, first engine.Adapter, b *slot, second engine.Adapter) bool {
	if !a.used.Equal(b.used) {
		return a.used.Before(b.used)
	}

	return before(first, second)
}

// before orders adapters by name and version, so that a choice does not depend on the order of a map.
func before(a, b engine.Adapter) bool {
	if a.Name != b.Name {
		return a.Name < b.Name
	}

	return a.Version < b.Version
}

// Unloaded records that the victim of the current load was unloaded; it does nothing after a restart of the engine.
func (s *Slots) Unloaded(now time.Time, adapter engine.Adapter) {
	gone := s.resident[adapter]
	if gone == nil || s.loading == nil {
		return
	}

	invariant.Check(gone.pins == 0, "slots.evict", "adapter %v is evicted with %d pins", adapter, gone.pins)
	s.remove(now, adapter)
}

// leaving reports whether the adapter takes no more requests, because it is being unloaded or is to be.
func (s *Slots) leaving(adapter engine.Adapter) bool {
	if s.closing != nil && *s.closing == adapter {
		return true
	}

	return s.loading != nil && s.loading.Victim != nil && *s.loading.Victim == adapter
}

func (s *Slots) halfLife() time.Duration {
	if s.HalfLife > 0 {
		return s.HalfLife
	}

	return defaultHalfLife
}

func (s *slot) use(now time.Time, halfLife time.Duration) {
	s.uses = s.frequency(now, halfLife) + 1
	s.used = now
}

func (s *slot) frequency(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(s.used).Seconds() / halfLife.Seconds()
	return s.uses * math.Exp2(-age)
}
