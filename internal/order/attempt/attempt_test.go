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

func book() *attempt.Registry[string] {
	return &attempt.Registry[string]{Retention: time.Minute, TicketLifetime: 3 * time.Second, MaxRecords: 100}
}

// Guards against an attempt that is run after its entry was told that it never will be.
func TestRefuse(t *testing.T) {
	b := book()

	assert.Equal(t, b.Query(now, "a", false).State, attempt.Unseen)
	assert.Equal(t, b.Query(now, "a", true).State, attempt.Refused)
	assert.Assert(t, fault.Is(b.Begin(now, "a"), fault.AttemptRefused))
	assert.Assert(t, !b.Start("a"))
}

// Guards against an attempt that is forgotten while a message with its ticket can still arrive.
func TestRetention(t *testing.T) {
	b := &attempt.Registry[string]{TicketLifetime: 3 * time.Second, MaxRecords: 1}

	assert.NilError(t, b.Begin(now, "a"))
	assert.Assert(t, fault.Is(b.Begin(now, "b"), fault.Overloaded), "a full book refuses and forgets nothing")
	b.Refuse(now, "a")
	assert.Assert(t, fault.Is(b.Begin(now.Add(3*time.Second), "a"), fault.AttemptRefused))
	assert.NilError(t, b.Begin(now.Add(4*time.Second), "b"))
}

// Guards the agent's memory against large outcomes, without making an attempt look as if it had not run.
func TestBudget(t *testing.T) {
	b := book()
	b.OutcomeSize = func(outcome string) int64 { return int64(len(outcome)) }
	b.MaxOutcomeBytes = 10

	for _, id := range []string{"a", "b", "c"} {
		assert.NilError(t, b.Begin(now, id))
		assert.Assert(t, b.Start(id))
		b.Finish(now, id, "12345", true)
	}

	assert.Equal(t, b.Query(now, "a", true).State, attempt.Unknown)
	assert.Equal(t, b.Query(now, "a", true).Outcome, "")
	assert.Equal(t, b.Query(now, "b", true).Outcome, "12345")
	assert.Equal(t, b.Query(now, "c", true).Outcome, "12345")
}

// Guards against a second run of an attempt under duplicate sends, queries and refusals in any order.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := book()
		at := now
		runs := map[string]int{}
		told := map[string]bool{}
		ended := map[string]string{}
		id := func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")) }

		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) { _ = b.Begin(at, id(t)) },
			"start": func(t *rapid.T) {
				if a := id(t); b.Start(a) {
					runs[a]++
					assert.Assert(t, !told[a], "attempt %s runs after it was refused", a)
				}
			},
			"refuse": func(t *rapid.T) { b.Refuse(at, id(t)) },
			"query": func(t *rapid.T) {
				a := id(t)
				record := b.Query(at, a, rapid.Bool().Draw(t, "refuse"))
				told[a] = told[a] || record.State == attempt.Refused
				assert.Assert(t, record.State != attempt.Refused || runs[a] == 0)

				if record.State == attempt.Done {
					assert.Equal(t, record.Outcome, ended[a])
				}
			},
			"finish": func(t *rapid.T) {
				a := id(t)
				if b.Query(at, a, false).State == attempt.Running {
					ended[a] = fmt.Sprint("outcome of ", a)
					b.Finish(at, a, ended[a], rapid.Bool().Draw(t, "known"))
				}
			},
			"wait": func(*rapid.T) { at = at.Add(10 * time.Millisecond) },
			"": func(t *rapid.T) {
				for a, count := range runs {
					assert.Assert(t, count <= 1, "attempt %s ran %d times", a, count)
				}
			},
		})
	})
}
