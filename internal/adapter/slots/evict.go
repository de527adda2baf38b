package slots

import (
	"math"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// chooseVictim returns the adapter to evict: the least frequently used one that is not in use.
func (s *Slots) chooseVictim(now time.Time) (engine.Adapter, bool) {
	return s.leastFrequent(now, func(candidate *slot) bool { return candidate.pins == 0 && !candidate.externalUse })
}

// leastFrequent returns the least frequently used adapter among the eligible ones.
func (s *Slots) leastFrequent(now time.Time, eligible func(candidate *slot) bool) (engine.Adapter, bool) {
	var (
		best  engine.Adapter
		score float64
		found bool
	)

	for adapter, candidate := range s.resident {
		if !eligible(candidate) {
			continue
		}

		uses := candidate.frequencyAt(now, s.halfLife())
		tied := found && uses == score && lessRecent(candidate, adapter, s.resident[best], best)

		if !found || uses < score || tied {
			best, score, found = adapter, uses, true
		}
	}

	return best, found
}

// lessRecent reports whether the first of two equally frequent adapters was used less recently, or comes first by name if the
// times are equal.
func lessRecent(a *slot, first engine.Adapter, b *slot, second engine.Adapter) bool {
	if !a.lastUse.Equal(b.lastUse) {
		return a.lastUse.Before(b.lastUse)
	}

	return before(first, second)
}

// before orders adapters by name and version, so that a choice does not depend on the iteration order of a map.
func before(a, b engine.Adapter) bool {
	if a.Name != b.Name {
		return a.Name < b.Name
	}

	return a.Version < b.Version
}

// Unloaded removes the victim of the load in progress after the engine unloaded it. It does nothing if the adapter is not
// resident or no load is in progress, as after Reset.
func (s *Slots) Unloaded(now time.Time, adapter engine.Adapter) {
	evicted := s.resident[adapter]
	if evicted == nil || s.loading == nil {
		return
	}

	invariant.Check(evicted.pins == 0, "slots.evict", "adapter %v is evicted with %d pins", adapter, evicted.pins)
	s.remove(now, adapter)
}

// unavailable reports whether the adapter accepts no more requests, because its slot is being freed or it is the victim of
// the load in progress.
func (s *Slots) unavailable(adapter engine.Adapter) bool {
	if s.freeing != nil && *s.freeing == adapter {
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

func (s *slot) recordUse(now time.Time, halfLife time.Duration) {
	s.useFrequency = s.frequencyAt(now, halfLife) + 1
	s.lastUse = now
}

func (s *slot) frequencyAt(now time.Time, halfLife time.Duration) float64 {
	halfLives := now.Sub(s.lastUse).Seconds() / halfLife.Seconds()
	return s.useFrequency * math.Exp2(-halfLives)
}
