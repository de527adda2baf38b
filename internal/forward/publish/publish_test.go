package publish_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/publish"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// messages returns the number of messages to one of the given number of entries within a second in which the load changes every
// few milliseconds.
func messages(entries int) int {
	var (
		publisher publish.Publisher
		sent      int
	)

	start := time.Unix(1000, 0)

	for passed := time.Duration(0); passed < 10*time.Second; passed += 5 * time.Millisecond {
		now := start.Add(passed)
		state := publish.Content{State: schedule.State{Ready: true, Running: int(passed / (5 * time.Millisecond))}}

		if publisher.Wait(now, state, entries) <= 0 {
			publisher.Record(now, state)

			sent++
		}
	}

	return sent
}

// Guards against messages of one agent that grow with the number of entries: with 68 entries and 120 agents, a message for
// each change cost more processor time and bytes than the requests.
func TestMessagesAreBounded(t *testing.T) {
	for name, entries := range map[string]int{"few entries": 5, "tens": 29, "many": 68, "hundreds": 300} {
		t.Run(name, func(t *testing.T) {
			total := messages(entries) * entries
			// Each entry gets a first message at once.
			assert.Assert(t, total <= 10*300+entries, "%d messages in 10 s", total)
		})
	}
}

// Guards against entries that send requests to a server which has become unavailable, or that apply a configuration late, because
// the message about it waited.
func TestUrgentChangesAreSentAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	before := publish.Content{State: schedule.State{Ready: true}, Operator: progress.Mark{Version: 1}}

	cases := map[string]publish.Content{
		"not ready":     {Operator: before.Operator},
		"draining":      {State: schedule.State{Ready: true, Draining: true}, Operator: before.Operator},
		"configuration": {State: before.State, Operator: progress.Mark{Version: 2}},
	}

	for name, changed := range cases {
		t.Run(name, func(t *testing.T) {
			var publisher publish.Publisher

			assert.Assert(t, publisher.Wait(now, before, 300) <= 0)
			publisher.Record(now, before)
			assert.Assert(t, publisher.Wait(now, before, 300) > 0)
			assert.Assert(t, publisher.Wait(now, changed, 300) <= 0)
		})
	}
}

// Guards against adapters that are loaded twice because entries learn of the first load late, and against a pause that ends with
// each change of the load although it is not sent yet.
func TestHoldingsPrecedeTheLoad(t *testing.T) {
	const entries = 300

	var publisher publish.Publisher

	now := time.Unix(1000, 0)
	shortest, longest := publish.Intervals(entries)
	before := publish.Content{State: schedule.State{Ready: true}}
	publisher.Record(now, before)

	loaded := before
	loaded.State.Adapters = []schedule.HeldAdapter{{Adapter: schedule.Adapter{Model: "m", Name: "a1"}, Loading: true}}
	assert.Assert(t, publisher.Wait(now, loaded, entries) <= 100*time.Millisecond)

	pause, endsWithLoad := publisher.Pause(now, longest, entries)
	assert.Equal(t, pause, shortest)
	assert.Assert(t, !endsWithLoad)

	_, endsWithLoad = publisher.Pause(now.Add(shortest), longest, entries)
	assert.Assert(t, endsWithLoad)
}

// Guards against messages without a change, and against an entry that counts a silent agent as lost although nothing changed.
func TestStateWithoutChangeIsSentRarely(t *testing.T) {
	for name, entries := range map[string]int{"few entries": 5, "many": 68} {
		t.Run(name, func(t *testing.T) {
			var publisher publish.Publisher

			now := time.Unix(1000, 0)
			content := publish.Content{State: schedule.State{Ready: true, Running: 3}}
			shortest, longest := publish.Intervals(entries)

			publisher.Record(now, content)
			assert.Equal(t, publisher.Wait(now, content, entries), longest)
			assert.Equal(t, publisher.Wait(now.Add(longest), content, entries), time.Duration(0))

			content.State.Running = 4
			assert.Equal(t, publisher.Wait(now, content, entries), shortest)
		})
	}
}

// Guards against adapter lists that are sent again although they have not changed, and against changes that are left out.
func TestHoldingsAreSentAfterChanges(t *testing.T) {
	var publisher publish.Publisher

	now := time.Unix(1000, 0)
	first := schedule.HeldAdapter{Adapter: schedule.Adapter{Model: "m", Name: "a1"}, Version: 1}
	second := schedule.HeldAdapter{Adapter: schedule.Adapter{Model: "m", Name: "a1"}, Version: 2}
	content := publish.Content{State: schedule.State{Ready: true, Models: []string{"m"}, Adapters: []schedule.HeldAdapter{first}}}

	assert.Assert(t, !publisher.Record(now, content).Holdings, "first message")

	content.State.Running = 2
	assert.Assert(t, publisher.Record(now, content).Holdings, "only the load changed")

	content.State.Adapters = []schedule.HeldAdapter{second}
	assert.Assert(t, !publisher.Record(now, content).Holdings, "new version")

	content.State.Models = nil
	assert.Assert(t, !publisher.Record(now, content).Holdings, "model unloaded")
}

// Guards against changes that relate to another list than that of the previous message: the entry would not get what it lacks.
func TestChangesRelateToThePreviousMessage(t *testing.T) {
	var publisher publish.Publisher

	now := time.Unix(1000, 0)
	adapter := schedule.Adapter{Model: "m", Name: "a1"}
	content := func(version int64) publish.Content {
		return publish.Content{State: schedule.State{Adapters: []schedule.HeldAdapter{{Adapter: adapter, Version: version}}}}
	}

	assert.Equal(t, len(publisher.Record(now, content(1)).Adapters), 0, "first message")
	assert.DeepEqual(t, publisher.Record(now, content(2)).Adapters, content(1).State.Adapters)

	publisher.Wait(now, content(3), 5)
	assert.DeepEqual(t, publisher.Record(now, content(4)).Adapters, content(2).State.Adapters)
}

// Guards against evidence about ends of the server that waits for the next message, is sent again, or is left out.
func TestEvidenceIsSentAtOnceAndOnce(t *testing.T) {
	var publisher publish.Publisher

	now := time.Unix(1000, 0)
	content := publish.Content{State: schedule.State{Ready: true}}

	assert.Assert(t, !publisher.Record(now, content).Evidence, "first message")

	content.Evidence = 1
	assert.Equal(t, publisher.Wait(now, content, 3), time.Duration(0))
	assert.Assert(t, !publisher.Record(now, content).Evidence, "new evidence")

	content.State.Running = 2
	assert.Assert(t, publisher.Wait(now, content, 3) > 0)
	assert.Assert(t, publisher.Record(now, content).Evidence, "only the load changed")
}

// Guards against entries that choose a server which has become slow, because the message about it waits for the longest interval, and against a
// message at once for each statement of a server.
func TestSlownessIsAChangeOfTheLoad(t *testing.T) {
	const entries = 5

	var publisher publish.Publisher

	now := time.Unix(1000, 0)
	content := publish.Content{State: schedule.State{Ready: true, Slowness: 100, SlownessAge: 10 * time.Millisecond, Rate: 20_000}}
	shortest, longest := publish.Intervals(entries)

	publisher.Record(now, content)

	content.State.Rate, content.State.SlownessAge = 21_000, time.Second
	assert.Equal(t, publisher.Wait(now, content, entries), longest, "the averages changed")

	content.State.Slowness = 250
	assert.Equal(t, publisher.Wait(now, content, entries), shortest, "the server became slow")
}

// Guards against an entry that expects a wait behind less urgent requests, because the agent does not send a change of the urgency alone.
func TestUrgencyOfTheBacklogIsLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	before := publish.Content{State: schedule.State{Ready: true, Backlog: 1000, QueuedTokens: [schedule.UrgencyClasses]int64{1000}}}

	cases := map[string]schedule.State{
		"urgency":   {Ready: true, Backlog: 1000, QueuedTokens: [schedule.UrgencyClasses]int64{0, 1000}},
		"prefilled": {Ready: true, Backlog: 1000, PrefillTokens: 1000},
	}

	for name, changed := range cases {
		t.Run(name, func(t *testing.T) {
			var publisher publish.Publisher

			publisher.Record(now, before)

			shortest, longest := publish.Intervals(5)
			assert.Equal(t, publisher.Wait(now, before, 5), longest)
			assert.Equal(t, publisher.Wait(now, publish.Content{State: changed}, 5), shortest)
		})
	}
}
