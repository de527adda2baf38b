// Package worker runs one request at the backend server.
package worker

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

const (
	// window is the highest number of events that the reader has not taken yet; beyond it the engine's stream is not read.
	window = 256
	// history is the number of events that are kept after the reader took them, for a reader that lost them in transit.
	history = 256
)

// ErrReplaced ends the read of a reader when another one has resumed the answer.
var ErrReplaced = errors.New("another reader resumed the answer")

// ErrForgotten says that events before the wanted one are no longer kept.
var ErrForgotten = errors.New("the wanted events are no longer kept")

// Outcome is how a request ended. Exactly one of its fields is set.
type Outcome[T any] struct {
	// Value is the result of a request that ran to its end.
	Value *T
	// Err has a fault kind.
	Err error
	// Refused says, with Err, that the backend server was surely not given the request.
	Refused bool
}

// Answer holds the output of one running generation between the engine and a reader that may be lost and replaced.
type Answer struct {
	mu sync.Mutex
	// events holds the kept events; their sequence numbers start at base, without gaps.
	events []engine.Event
	base   int64
	// taken is the number of events that the reader has taken.
	taken int64
	// reader identifies the newest reader.
	reader  int64
	started bool
	outcome *Outcome[engine.Event]
	changed chan struct{}
}

// Attach makes the caller the only reader, from event number from on, and returns its id.
func (a *Answer) Attach(from int64) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if from < a.base || from > a.next() {
		return 0, ErrForgotten
	}

	a.reader++
	a.taken = from
	a.wake()

	return a.reader, nil
}

// Started returns when the engine has accepted the request, or when the request has ended.
func (a *Answer) Started(ctx context.Context) error {
	return a.wait(ctx, func() (bool, error) {
		return a.started || a.outcome != nil, nil
	})
}

// Read returns the next events, or the outcome once all events were read.
func (a *Answer) Read(ctx context.Context, reader int64) (events []engine.Event, outcome *Outcome[engine.Event], err error) {
	err = a.wait(ctx, func() (bool, error) {
		if reader != a.reader {
			return false, ErrReplaced
		}

		if a.taken < a.next() {
			events = append(events, a.events[a.taken-a.base:]...)
			a.take()

			return true, nil
		}

		outcome = a.outcome

		return outcome != nil, nil
	})

	return events, outcome, err
}

// Outcome returns how the request ended, or nil while it runs.
func (a *Answer) Outcome() *Outcome[engine.Event] {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.outcome
}

// start records that the engine has accepted the request.
func (a *Answer) start() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.started = true
	a.wake()
}

// write adds the next event; it waits while the reader is a whole window behind.
func (a *Answer) write(ctx context.Context, event engine.Event) error {
	return a.wait(ctx, func() (bool, error) {
		if a.next()-a.taken >= window {
			return false, nil
		}

		invariant.Check(event.Seq == a.next(), "answer.seq", "event %d follows %d events", event.Seq, a.next())
		a.events = append(a.events, event)
		a.wake()

		return true, nil
	})
}

func (a *Answer) end(outcome Outcome[engine.Event]) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.outcome = &outcome
	a.wake()
}

// take marks every event as taken and forgets those beyond the history.
func (a *Answer) take() {
	a.taken = a.next()

	if old := a.taken - history - a.base; old > 0 {
		a.events = append([]engine.Event(nil), a.events[old:]...)
		a.base += old
	}

	invariant.Check(len(a.events) <= window+history, "answer.kept", "%d events are kept", len(a.events))
	a.wake()
}

func (a *Answer) next() int64 {
	return a.base + int64(len(a.events))
}

// wake wakes every waiter.
func (a *Answer) wake() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// wait calls ready under the lock until it returns true or an error.
func (a *Answer) wait(ctx context.Context, ready func() (bool, error)) error {
	for {
		a.mu.Lock()
		ok, err := ready()

		if ok || err != nil {
			a.mu.Unlock()
			return err
		}

		if a.changed == nil {
			a.changed = make(chan struct{})
		}

		changed := a.changed
		a.mu.Unlock()

		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
