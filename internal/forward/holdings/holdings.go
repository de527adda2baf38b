// Package holdings writes the models and adapters that a model server holds into the state messages of its agent, and keeps an entry's copy
// of them. An entry that accepts it gets only the adapters that have changed since the previous message of the stream: a list has up to a few
// hundred adapters, and most changes concern one.
package holdings

import (
	"maps"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// Write writes the models and all adapters of a state into a message.
func Write(message *relay.State, state *schedule.State) {
	message.Models = state.Models
	message.Adapters = toWire(state.Adapters)
}

// WriteChanges writes the models of a state into a message, and how its adapters differ from those of the previous message of the stream. It
// writes all adapters if there are no more of them than differences, as in the first message of a stream, before which there were none.
func WriteChanges(message *relay.State, state *schedule.State, previous []schedule.HeldAdapter) {
	changed, removed := diff(previous, state.Adapters)

	if len(changed)+len(removed) >= len(state.Adapters) {
		Write(message, state)
		return
	}

	message.Models = state.Models
	message.Partial = true
	message.Adapters = toWire(changed)

	for _, adapter := range removed {
		message.Removed = append(message.Removed, &relay.Adapter{Model: adapter.Model, Name: adapter.Name})
	}
}

// diff returns the adapters that were added or have changed, and those that are no longer held. Both lists are sorted as in schedule.State.
func diff(previous, current []schedule.HeldAdapter) (changed []schedule.HeldAdapter, removed []schedule.Adapter) {
	for len(previous) > 0 && len(current) > 0 {
		switch order := previous[0].Adapter.Compare(current[0].Adapter); {
		case order < 0:
			removed = append(removed, previous[0].Adapter)
			previous = previous[1:]
		case order > 0:
			changed = append(changed, current[0])
			current = current[1:]
		default:
			if previous[0] != current[0] {
				changed = append(changed, current[0])
			}

			previous, current = previous[1:], current[1:]
		}
	}

	for _, held := range previous {
		removed = append(removed, held.Adapter)
	}

	return append(changed, current...), removed
}

func toWire(adapters []schedule.HeldAdapter) []*relay.Adapter {
	wire := make([]*relay.Adapter, 0, len(adapters))

	for _, held := range adapters {
		wire = append(wire, &relay.Adapter{Model: held.Adapter.Model, Name: held.Adapter.Name, Version: held.Version, Loading: held.Loading})
	}

	return wire
}

// Copy is what an entry knows of the models and adapters from the messages of one stream. Its maps are not changed after they were set, so
// that they can be read without a lock.
type Copy struct {
	Models []string
	// Loaded holds the versions of the loaded adapters, and Loading the adapters that are being loaded.
	Loaded  map[schedule.Adapter]int64
	Loading map[schedule.Adapter]bool
}

// IsComplete reports whether a message has all models and adapters, as the first one of a stream does.
func IsComplete(message *relay.State) bool {
	return !message.GetUnchanged() && !message.GetPartial()
}

// Apply returns the copy after a message.
func (c Copy) Apply(message *relay.State) Copy {
	if message.GetUnchanged() {
		return c
	}

	if message.GetPartial() && c.Loaded != nil {
		return c.applyChanges(message)
	}

	next := Copy{Loaded: make(map[schedule.Adapter]int64, len(message.GetAdapters())), Loading: map[schedule.Adapter]bool{}}
	next.add(message)

	return next
}

// applyChanges returns the copy after a message with changes only.
func (c Copy) applyChanges(message *relay.State) Copy {
	next := Copy{Loaded: maps.Clone(c.Loaded), Loading: maps.Clone(c.Loading)}
	next.remove(message.GetRemoved())
	// An adapter that is loaded may have been one that is being loaded, and the reverse.
	next.remove(message.GetAdapters())
	next.add(message)

	return next
}

func (c *Copy) remove(adapters []*relay.Adapter) {
	for _, removed := range adapters {
		name := schedule.Adapter{Model: removed.GetModel(), Name: removed.GetName()}
		delete(c.Loaded, name)
		delete(c.Loading, name)
	}
}

// add sets the models and adds the adapters of a message.
func (c *Copy) add(message *relay.State) {
	c.Models = message.GetModels()

	for _, held := range message.GetAdapters() {
		name := schedule.Adapter{Model: held.GetModel(), Name: held.GetName()}

		if held.GetLoading() {
			c.Loading[name] = true
		} else {
			c.Loaded[name] = held.GetVersion()
		}
	}
}
