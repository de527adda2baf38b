package worker_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/agent/worker"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// source is an engine whose one answer has a number of events of one size.
type source struct {
	engine.Engine
	total int64
	text  string
	next  int64
}

func (s *source) Generate(context.Context, engine.Request) (engine.Stream, error) { return s, nil }

func (s *source) Cancel(context.Context, string) error { return nil }

func (s *source) Close() error { return nil }

func (s *source) Next() (engine.Event, error) {
	event := engine.Event{ID: "r", Seq: s.next, Text: s.text, Tokens: 1}

	if s.next == s.total {
		return engine.Event{ID: "r", Seq: s.next, End: true}, nil
	}

	s.next++

	return event, nil
}

// Guards the agent's memory against an entry that does not read, by number and by size of the events.
func TestBackpressure(t *testing.T) {
	tests := map[string]struct {
		size int
		most int64
	}{
		"many small events": {1, 257},
		"few large events":  {100 << 10, 4},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				from := &source{total: 5000, text: strings.Repeat("x", test.size)}
				answer := &worker.ResponseBuffer{}
				generation := &worker.Generation{Engine: from, Request: engine.Request{ID: "r"}}

				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()

				go generation.Run(ctx, answer)
				synctest.Wait()
				assert.Equal(t, from.next, test.most)

				reader, err := answer.Attach(0)
				assert.NilError(t, err)

				for answer.Outcome() == nil {
					_, _, err = answer.Read(t.Context(), reader)
					assert.NilError(t, err)
					synctest.Wait()
				}

				assert.Assert(t, answer.Outcome().Value != nil, "a reader that comes later gets the rest")
				assert.Equal(t, answer.OutputTokens(), int64(5000))
			})
		})
	}
}

// Guards against an end of the answer that is sent with the load from before the request gave up its place.
func TestEndedBeforeOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := &worker.ResponseBuffer{}
		calls := 0
		generation := &worker.Generation{
			Engine: &source{total: 3, text: "x"}, Request: engine.Request{ID: "r"},
			OnCompleted: func(worker.Outcome[engine.Event]) {
				calls++
				assert.Assert(t, answer.Outcome() == nil, "readers see the outcome already")
			},
		}

		generation.Run(t.Context(), answer)
		assert.Equal(t, calls, 1)
		assert.Assert(t, answer.Outcome().Value != nil)
	})
}

// Guards against a resumed answer with a gap, and against two readers that each get a part.
func TestAttach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := &worker.ResponseBuffer{}
		generation := &worker.Generation{Engine: &source{total: 1000, text: "x"}, Request: engine.Request{ID: "r"}}

		go generation.Run(t.Context(), answer)

		first, err := answer.Attach(0)
		assert.NilError(t, err)

		for answer.Outcome() == nil {
			_, _, err = answer.Read(t.Context(), first)
			assert.NilError(t, err)
			synctest.Wait()
		}

		_, err = answer.Attach(10)
		assert.Assert(t, errors.Is(err, worker.ErrNotBuffered), "%v", err)
		_, err = answer.Attach(1001)
		assert.Assert(t, errors.Is(err, worker.ErrNotBuffered), "%v", err)

		second, err := answer.Attach(900)
		assert.NilError(t, err)

		events, _, err := answer.Read(t.Context(), second)
		assert.NilError(t, err)
		assert.Equal(t, events[0].Seq, int64(900))
		assert.Equal(t, len(events), 100)

		_, _, err = answer.Read(t.Context(), first)
		assert.Assert(t, errors.Is(err, worker.ErrReplaced), "%v", err)
	})
}
