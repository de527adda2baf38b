package holdings_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/holdings"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/publish"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

func loaded(name string, version int64) schedule.HeldAdapter {
	return schedule.HeldAdapter{Adapter: schedule.Adapter{Model: "m", Name: name}, Version: version}
}

func loading(name string, version int64) schedule.HeldAdapter {
	return schedule.HeldAdapter{Adapter: schedule.Adapter{Model: "m", Name: name}, Version: version, Loading: true}
}

// list returns five loaded adapters, those that are given in place of the ones of the same name or beside them, sorted.
func list(instead ...schedule.HeldAdapter) []schedule.HeldAdapter {
	all := []schedule.HeldAdapter{loaded("b", 1), loaded("d", 1), loaded("f", 1), loaded("h", 1), loaded("j", 1)}

	for _, held := range instead {
		all = slices.DeleteFunc(all, func(other schedule.HeldAdapter) bool { return other.Adapter == held.Adapter })
		all = append(all, held)
	}

	slices.SortFunc(all, func(a, b schedule.HeldAdapter) int { return a.Adapter.Compare(b.Adapter) })

	return all
}

func names(adapters []*relay.Adapter) []string {
	found := make([]string, 0, len(adapters))
	for _, adapter := range adapters {
		found = append(found, adapter.GetName())
	}

	return found
}

// Guards against a change that is left out of a message, because it is one of the version or of the loading flag alone or stands at an end of
// the list, against adapters that are sent again without a change, and against a message that is longer than the whole list.
func TestWriteChanges(t *testing.T) {
	without := func(name string) []schedule.HeldAdapter {
		return slices.DeleteFunc(list(), func(held schedule.HeldAdapter) bool { return held.Adapter.Name == name })
	}

	cases := map[string]struct {
		previous, current []schedule.HeldAdapter
		whole             bool
		changed, removed  []string
	}{
		"nothing":               {previous: list(), current: list()},
		"version":               {previous: list(), current: list(loaded("f", 2)), changed: []string{"f"}},
		"earlier version":       {previous: list(loaded("f", 2)), current: list(), changed: []string{"f"}},
		"load begins":           {previous: list(), current: list(loading("f", 1)), changed: []string{"f"}},
		"load ends":             {previous: list(loading("f", 1)), current: list(), changed: []string{"f"}},
		"added first":           {previous: list(), current: list(loading("a", 0)), changed: []string{"a"}},
		"added between":         {previous: list(), current: list(loaded("e", 1)), changed: []string{"e"}},
		"added last":            {previous: list(), current: list(loaded("k", 1)), changed: []string{"k"}},
		"removed first":         {previous: list(), current: without("b"), removed: []string{"b"}},
		"removed between":       {previous: list(), current: without("f"), removed: []string{"f"}},
		"removed last":          {previous: list(), current: without("j"), removed: []string{"j"}},
		"replaced":              {previous: list(loaded("a", 1)), current: list(loaded("c", 1)), changed: []string{"c"}, removed: []string{"a"}},
		"first message":         {current: list(), whole: true, changed: []string{"b", "d", "f", "h", "j"}},
		"all removed":           {previous: list(), whole: true},
		"most removed":          {previous: list(), current: list()[:2], whole: true, changed: []string{"b", "d"}},
		"empty before and then": {whole: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			message := &relay.State{}
			holdings.WriteChanges(message, &schedule.State{Models: []string{"m"}, Adapters: c.current}, c.previous)

			assert.Equal(t, holdings.IsComplete(message), c.whole)
			assert.DeepEqual(t, message.GetModels(), []string{"m"})
			assert.DeepEqual(t, names(message.GetAdapters()), append([]string{}, c.changed...))
			assert.DeepEqual(t, names(message.GetRemoved()), append([]string{}, c.removed...))
		})
	}
}

// Guards against an entry that fails on, or holds more after, the removal of an adapter that it does not know, against a removal that does not
// reach an adapter that is being loaded, and against an adapter that counts as loaded and as being loaded.
func TestApply(t *testing.T) {
	one, other := schedule.Adapter{Model: "m", Name: "a1"}, schedule.Adapter{Model: "m", Name: "a2"}
	before := holdings.Copy{Models: []string{"m"}, Loaded: map[schedule.Adapter]int64{one: 3}, Loading: map[schedule.Adapter]bool{other: true}}
	wire := func(name string, version int64, loading bool) *relay.Adapter {
		return &relay.Adapter{Model: "m", Name: name, Version: version, Loading: loading}
	}

	cases := map[string]struct {
		from    holdings.Copy
		message *relay.State
		want    holdings.Copy
	}{
		"unchanged": {from: before, message: &relay.State{Unchanged: true}, want: before},
		"no change": {from: before, message: &relay.State{Partial: true, Models: []string{"m"}}, want: before},
		"unknown removed": {
			from: before, message: &relay.State{Partial: true, Models: []string{"m"}, Removed: []*relay.Adapter{wire("a9", 0, false)}}, want: before,
		},
		"all removed": {
			from: before, message: &relay.State{Partial: true, Removed: []*relay.Adapter{wire("a1", 0, false), wire("a2", 0, false)}},
			want: holdings.Copy{Loaded: map[schedule.Adapter]int64{}, Loading: map[schedule.Adapter]bool{}},
		},
		"load ends, load begins": {
			from: before, message: &relay.State{Partial: true, Models: []string{"m"}, Adapters: []*relay.Adapter{wire("a1", 3, true), wire("a2", 1, false)}},
			want: holdings.Copy{Models: []string{"m"}, Loaded: map[schedule.Adapter]int64{other: 1}, Loading: map[schedule.Adapter]bool{one: true}},
		},
		"whole list": {
			from: before, message: &relay.State{Adapters: []*relay.Adapter{wire("a3", 1, false)}},
			want: holdings.Copy{Loaded: map[schedule.Adapter]int64{{Model: "m", Name: "a3"}: 1}, Loading: map[schedule.Adapter]bool{}},
		},
		"changes without a list": {
			message: &relay.State{Partial: true, Adapters: []*relay.Adapter{wire("a3", 1, false)}},
			want:    holdings.Copy{Loaded: map[schedule.Adapter]int64{{Model: "m", Name: "a3"}: 1}, Loading: map[schedule.Adapter]bool{}},
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, c.from.Apply(c.message), c.want) })
	}
}

// want returns the copy of an entry that knows a state exactly.
func want(state *schedule.State) holdings.Copy {
	found := holdings.Copy{Models: state.Models, Loaded: map[schedule.Adapter]int64{}, Loading: map[schedule.Adapter]bool{}}

	for _, held := range state.Adapters {
		if held.Loading {
			found.Loading[held.Adapter] = true
		} else {
			found.Loaded[held.Adapter] = held.Version
		}
	}

	return found
}

// mutate returns a state after some random changes of the adapters; at times the server has restarted and holds nothing.
func mutate(source *rand.Rand, state *schedule.State) schedule.State {
	held := map[schedule.Adapter]schedule.HeldAdapter{}

	if source.IntN(25) > 0 {
		for _, adapter := range state.Adapters {
			held[adapter.Adapter] = adapter
		}
	}

	for range source.IntN(4) {
		name := schedule.Adapter{Model: fmt.Sprintf("m%d", source.IntN(2)), Name: fmt.Sprintf("a%d", source.IntN(20))}

		if source.IntN(3) == 0 {
			delete(held, name)
		} else {
			held[name] = schedule.HeldAdapter{Adapter: name, Version: source.Int64N(3), Loading: source.IntN(2) == 0}
		}
	}

	next := schedule.State{Ready: true, Running: source.IntN(3), Models: []string{"m0", "m1"}[:source.IntN(3)]}
	next.Adapters = slices.SortedFunc(maps.Values(held), func(a, b schedule.HeldAdapter) int { return a.Adapter.Compare(b.Adapter) })

	return next
}

// randomStream is one stream from an agent to an entry.
type randomStream struct {
	publisher publish.Publisher
	copy      holdings.Copy
	// changes is true once the agent knows that the entry accepts changes.
	changes bool
}

// send sends a state and returns the message as the entry has decoded it.
func (s *randomStream) send(t *testing.T, state *schedule.State) *relay.State {
	t.Helper()

	unchanged := s.publisher.Record(time.Unix(0, 0), publish.Content{State: *state})
	message := &relay.State{Unchanged: unchanged.Holdings}

	switch {
	case unchanged.Holdings:
	case s.changes:
		holdings.WriteChanges(message, state, unchanged.Adapters)
	default:
		holdings.Write(message, state)
	}

	data, err := proto.Marshal(message)
	assert.NilError(t, err)

	received := &relay.State{}
	assert.NilError(t, proto.Unmarshal(data, received))

	s.copy = s.copy.Apply(received)

	return received
}

// Guards against an entry whose copy is not what the agent holds, after any sequence of changes, of which a message may carry several, of
// messages without a change, and of streams that begin again; and against a copy that changes while a request reads it.
func TestCopyIsExactAfterRandomChanges(t *testing.T) {
	for seed := range uint64(40) {
		source := rand.New(rand.NewPCG(seed, 1))
		state := schedule.State{}
		stream := &randomStream{}
		partial, first := 0, true

		for step := range 300 {
			for range source.IntN(3) {
				state = mutate(source, &state)
			}

			if source.IntN(20) == 0 {
				stream, first = &randomStream{}, true
			}

			before := stream.copy
			snapshot := holdings.Copy{Models: slices.Clone(before.Models), Loaded: maps.Clone(before.Loaded), Loading: maps.Clone(before.Loading)}

			message := stream.send(t, &state)
			if message.GetPartial() {
				partial++
			}

			expected := want(&state)
			assert.Assert(t, slices.Equal(stream.copy.Models, expected.Models), "seed %d, step %d", seed, step)
			assert.Assert(t, maps.Equal(stream.copy.Loaded, expected.Loaded), "seed %d, step %d: %v, want %v", seed, step, stream.copy.Loaded, expected.Loaded)
			assert.Assert(t, maps.Equal(stream.copy.Loading, expected.Loading), "seed %d, step %d: %v, want %v", seed, step, stream.copy.Loading, expected.Loading)
			assert.DeepEqual(t, before, snapshot)
			assert.Assert(t, !first || holdings.IsComplete(message), "seed %d, step %d: the first message lacks the list", seed, step)
			assert.Assert(t, len(message.GetAdapters())+len(message.GetRemoved()) <= len(state.Adapters), "seed %d, step %d", seed, step)

			first = false
			stream.changes = stream.changes || source.IntN(3) == 0
		}

		assert.Assert(t, partial > 50, "seed %d: %d messages with changes", seed, partial)
	}
}
