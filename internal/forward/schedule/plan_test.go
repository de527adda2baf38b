package schedule_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// prompt returns a request with a prompt of the given size, whose first event is due and which expires after the given times. At the default
// pace, 1,000 tokens are prefilled in 62 ms.
func prompt(urgency int, tokens int64, due, expires time.Duration) *schedule.Request {
	added := request("a1", start)
	added.Urgency, added.InputTokens, added.MaxOutputTokens = urgency, tokens, 10
	added.Due, added.Expires = start.Add(due), start.Add(expires)

	return added
}

// Guards against a request that waits in vain until it expires, and against a refusal that says nothing about when there is room.
func TestRequestWithoutATurnIsRefusedAtOnce(t *testing.T) {
	s := ready(adapterVersion("a1", 1))
	first, second, hopeless := prompt(0, 4000, time.Second, 5*time.Second), prompt(0, 4000, time.Second, 5*time.Second), prompt(0, 1000, -time.Second, 150*time.Millisecond)

	s.Add(first)
	assert.Equal(t, len(started(s.Dispatch(start))), 1)

	s.Add(second)
	s.Add(hopeless)

	actions := s.Dispatch(start)
	assert.Equal(t, len(actions), 1)

	refused, ok := actions[0].(schedule.Refuse)
	assert.Assert(t, ok)
	assert.Assert(t, refused.Request == hopeless && refused.Early)
	assert.Equal(t, refused.Err.Kind, fault.Overloaded)
	// Both prompts of 4,000 tokens go first.
	assert.Equal(t, refused.Err.RetryDelay(), 424*time.Millisecond)
}

// Guards against a less urgent request that makes a more urgent one late, and against a request that its log line does not show as displaced.
func TestLessUrgentRequestIsDisplaced(t *testing.T) {
	s := ready(adapterVersion("a1", 1))
	less, urgent := prompt(2, 4000, 250*time.Millisecond, 5*time.Second), prompt(0, 4000, 300*time.Millisecond, 5*time.Second)
	s.Add(less)
	s.Add(urgent)

	assert.Assert(t, started(s.Dispatch(start))[0] == urgent)
	assert.Assert(t, less.Displaced && !urgent.Displaced)
}

// Guards against a backlog whose parts do not add up: entries count only the work that goes before a request.
func TestBacklogByUrgency(t *testing.T) {
	s := ready(adapterVersion("a1", 1))

	for _, each := range []*schedule.Request{prompt(0, 1000, time.Second, time.Minute), prompt(1, 700, time.Second, time.Minute), prompt(2, 500, time.Second, time.Minute), prompt(99, 300, time.Second, time.Minute)} {
		s.Add(each)
	}

	s.Dispatch(start)

	state := s.State(start)
	assert.Equal(t, state.Backlog, int64(2500))
	assert.Equal(t, state.PrefillTokens, int64(1000))
	assert.Equal(t, state.QueuedTokens, [schedule.UrgencyClasses]int64{1: 700, 2: 500, 9: 300})
}

// Guards against an agent that is busy with the order of its queue: it is decided again with each event while a prompt waits.
func BenchmarkDispatch(b *testing.B) {
	s := ready(adapterVersion("a1", 1))
	limits := limits()
	limits.Slots, limits.KVCapacity = 128, 1<<30
	s.Configure(limits)

	running := prompt(0, 100, time.Second, time.Minute)
	s.Add(running)
	s.Dispatch(start)

	for i := range 64 {
		s.Add(prompt(i%3, int64(300+50*i), time.Duration(200+15*i)*time.Millisecond, time.Minute))
	}

	for b.Loop() {
		s.Dispatch(start)
	}
}
