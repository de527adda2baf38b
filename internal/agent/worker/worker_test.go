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

// fakeEngine is an engine whose single response has a number of events with the same text.
type fakeEngine struct {
	engine.Engine
	total int64
	text  string
	next  int64
}

func (f *fakeEngine) Generate(context.Context, engine.Request) (engine.Stream, error) { return f, nil }

func (f *fakeEngine) Cancel(context.Context, string) error { return nil }

func (f *fakeEngine) Close() error { return nil }

func (f *fakeEngine) Next() (engine.Event, error) {
	event := engine.Event{ID: "r", Seq: f.next, Text: f.text, Tokens: 1}

	if f.next == f.total {
		return engine.Event{ID: "r", Seq: f.next, End: true}, nil
	}

	f.next++

	return event, nil
}

// Guards against unbounded memory use when an entry does not read, by number and by size of the events.
func TestBackpressure(t *testing.T) {
	tests := map[string]struct {
		size       int
		eventsRead int64
	}{
		"many small events": {1, 257},
		"few large events":  {100 << 10, 4},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeEngine{total: 5000, text: strings.Repeat("x", test.size)}
				buffer := &worker.ResponseBuffer{}
				generation := &worker.Generation{Engine: fake, Request: engine.Request{ID: "r"}}

				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()

				go generation.Run(ctx, buffer)
				synctest.Wait()
				assert.Equal(t, fake.next, test.eventsRead)

				reader, err := buffer.Attach(0)
				assert.NilError(t, err)

				for buffer.Outcome() == nil {
					_, _, err = buffer.Read(t.Context(), reader)
					assert.NilError(t, err)
					synctest.Wait()
				}

				assert.Assert(t, buffer.Outcome().Value != nil, "a reader that attaches later receives the rest")
				assert.Equal(t, buffer.OutputTokens(), int64(5000))
			})
		})
	}
}

// Guards against an outcome that is sent with a load that still includes the request.
func TestOnCompletedBeforeOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		buffer := &worker.ResponseBuffer{}
		calls := 0
		generation := &worker.Generation{
			Engine: &fakeEngine{total: 3, text: "x"}, Request: engine.Request{ID: "r"},
			OnCompleted: func(worker.Outcome[engine.Event]) {
				calls++
				assert.Assert(t, buffer.Outcome() == nil, "the outcome is already set")
			},
		}

		generation.Run(t.Context(), buffer)
		assert.Equal(t, calls, 1)
		assert.Assert(t, buffer.Outcome().Value != nil)
	})
}

// Guards against a resumed response with a gap, and against two readers that each receive a part of it.
func TestAttach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		buffer := &worker.ResponseBuffer{}
		generation := &worker.Generation{Engine: &fakeEngine{total: 1000, text: "x"}, Request: engine.Request{ID: "r"}}

		go generation.Run(t.Context(), buffer)

		first, err := buffer.Attach(0)
		assert.NilError(t, err)

		for buffer.Outcome() == nil {
			_, _, err = buffer.Read(t.Context(), first)
			assert.NilError(t, err)
			synctest.Wait()
		}

		_, err = buffer.Attach(10)
		assert.Assert(t, errors.Is(err, worker.ErrNotBuffered), "%v", err)
		_, err = buffer.Attach(1001)
		assert.Assert(t, errors.Is(err, worker.ErrNotBuffered), "%v", err)

		second, err := buffer.Attach(900)
		assert.NilError(t, err)

		events, _, err := buffer.Read(t.Context(), second)
		assert.NilError(t, err)
		assert.Equal(t, events[0].Seq, int64(900))
		assert.Equal(t, len(events), 100)

		_, _, err = buffer.Read(t.Context(), first)
		assert.Assert(t, errors.Is(err, worker.ErrReplaced), "%v", err)
	})
}
