package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/order/attempt"
)

var now = time.Unix(1000, 0)

func newRegistry() *attempt.Registry[string] {
	return &attempt.Registry[string]{Retention: time.Minute, TicketLifetime: 3 * time.Second, MaxRecords: 100}
}

// Guards against an attempt that runs after a query reported it as refused.
func TestRefuse(t *testing.T) {
	registry := newRegistry()

	assert.Equal(t, registry.Query(now, "a", false).State, attempt.Unseen)
	assert.Equal(t, registry.Query(now, "a", true).State, attempt.Refused)
	assert.Assert(t, fault.Is(registry.Begin(now, "a"), fault.AttemptRefused))
	assert.Assert(t, !registry.Start("a"))
}

// Guards against a record that is removed while a message with its ticket can still be accepted.
func TestRetention(t *testing.T) {
	registry := &attempt.Registry[string]{TicketLifetime: 3 * time.Second, MaxRecords: 1}

	assert.NilError(t, registry.Begin(now, "a"))
	assert.Assert(t, fault.Is(registry.Begin(now, "b"), fault.Overloaded), "a full registry refuses new attempts and removes no record")
	registry.Refuse(now, "a")
	assert.Assert(t, fault.Is(registry.Begin(now.Add(3*time.Second), "a"), fault.AttemptRefused))
	assert.NilError(t, registry.Begin(now.Add(4*time.Second), "b"))
}

// Guards against outcomes that use more memory than the limit, and against an attempt that is reported as not run after its
// outcome was dropped.
func TestBudget(t *testing.T) {
	registry := newRegistry()
	registry.OutcomeSize = func(outcome string) int64 { return int64(len(outcome)) }
	registry.MaxOutcomeBytes = 10

	for _, id := range []string{"a", "b", "c"} {
		assert.NilError(t, registry.Begin(now, id))
		assert.Assert(t, registry.Start(id))
		registry.Finish(now, id, "12345", true)
	}

	assert.Equal(t, registry.Query(now, "a", true).State, attempt.Unknown)
	assert.Equal(t, registry.Query(now, "a", true).Outcome, "")
	assert.Equal(t, registry.Query(now, "b", true).Outcome, "12345")
	assert.Equal(t, registry.Query(now, "c", true).Outcome, "12345")
}

// Guards against a second run of an attempt after duplicate messages, queries and refusals in any order.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := newRegistry()
		clock := now
		runs := map[string]int{}
		refused := map[string]bool{}
		outcomes := map[string]string{}
		id := func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")) }

		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) { _ = registry.Begin(clock, id(t)) },
			"start": func(t *rapid.T) {
				if a := id(t); registry.Start(a) {
					runs[a]++
					assert.Assert(t, !refused[a], "attempt %s runs after it was refused", a)
				}
			},
			"refuse": func(t *rapid.T) { registry.Refuse(clock, id(t)) },
			"query": func(t *rapid.T) {
				a := id(t)
				record := registry.Query(clock, a, rapid.Bool().Draw(t, "refuse"))
				refused[a] = refused[a] || record.State == attempt.Refused
				assert.Assert(t, record.State != attempt.Refused || runs[a] == 0)

				if record.State == attempt.Done {
					assert.Equal(t, record.Outcome, outcomes[a])
				}
			},
			"finish": func(t *rapid.T) {
				a := id(t)
				if registry.Query(clock, a, false).State == attempt.Running {
					outcomes[a] = fmt.Sprint("outcome of ", a)
					registry.Finish(clock, a, outcomes[a], rapid.Bool().Draw(t, "known"))
				}
			},
			"wait": func(*rapid.T) { clock = clock.Add(10 * time.Millisecond) },
			"": func(t *rapid.T) {
				for a, count := range runs {
					assert.Assert(t, count <= 1, "attempt %s ran %d times", a, count)
				}
			},
		})
	})
}
