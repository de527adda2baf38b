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
	maxUnreadEvents = 256
	// windowBytes is the size of the text not taken yet above which the engine's stream is not read.
	maxUnreadBytes = 256 << 10
	// history is the number of events that are kept after the reader took them, for a reader that lost them in transit.
	maxReplayEvents = 256
	// historyBytes is the size of the text that is kept after the reader took it, if it is more than one event.
	maxReplayBytes = 256 << 10
)

// ErrReplaced ends the read of a reader when another one has resumed the answer.
var ErrReplaced = errors.New("another reader resumed the answer")

// ErrNotBuffered says that events before the wanted one are no longer kept.
var ErrNotBuffered = errors.New("the wanted events are no longer kept")

// Outcome is how a request ended. Exactly one of its fields is set.
type Outcome[T any] struct {
	// Value is the result of a request that ran to its end.
	Value *T
	// Err has a fault kind.
	Err error
	// Refused says, with Err, that the backend server was surely not given the request.
	Refused bool
}

// ResponseBuffer holds the output of one running generation between the engine and a reader that may be lost and replaced.
type ResponseBuffer struct {
	mu sync.Mutex
	// events holds the kept events; their sequence numbers start at base, without gaps.
	events   []engine.Event
	firstSeq int64
	// taken is the number of events that the reader has taken.
	nextRead int64
	// kept and unread are the sizes of the text of the kept events and of those not taken yet, in bytes.
	bufferedBytes int
	unreadBytes   int
	// output is the number of tokens of the whole answer so far.
	outputTokens int64
	// reader identifies the newest reader.
	readerID int64
	accepted bool
	outcome  *Outcome[engine.Event]
	changed  chan struct{}
}

// Attach makes the caller the only reader, from event number from on, and returns its id.
func (a *ResponseBuffer) Attach(from int64) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if from < a.firstSeq || from > a.nextSeq() {
		return 0, ErrNotBuffered
	}

	a.readerID++
	a.nextRead = from
	a.unreadBytes = textSize(a.events[from-a.firstSeq:])
	a.notify()

	return a.readerID, nil
}

// WaitAccepted returns when the engine has accepted the request, or when the request has ended.
func (a *ResponseBuffer) WaitAccepted(ctx context.Context) error {
	return a.wait(ctx, func() (bool, error) {
		return a.accepted || a.outcome != nil, nil
	})
}

// Read returns the next events, or the outcome once all events were read.
func (a *ResponseBuffer) Read(ctx context.Context, reader int64) (events []engine.Event, outcome *Outcome[engine.Event], err error) {
	err = a.wait(ctx, func() (bool, error) {
		if reader != a.readerID {
			return false, ErrReplaced
		}

		if a.nextRead < a.nextSeq() {
			events = append(events, a.events[a.nextRead-a.firstSeq:]...)
			a.markRead()

			return true, nil
		}

		outcome = a.outcome

		return outcome != nil, nil
	})

	return events, outcome, err
}

// Outcome returns how the request ended, or nil while it runs.
func (a *ResponseBuffer) Outcome() *Outcome[engine.Event] {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.outcome
}

// start records that the engine has accepted the request.
func (a *ResponseBuffer) markAccepted() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.accepted = true
	a.notify()
}

// write adds the next event; it waits while the reader is a whole window behind.
func (a *ResponseBuffer) write(ctx context.Context, event engine.Event) error {
	return a.wait(ctx, func() (bool, error) {
		if a.nextSeq()-a.nextRead >= maxUnreadEvents || a.unreadBytes >= maxUnreadBytes {
			return false, nil
		}

		invariant.Check(event.Seq == a.nextSeq(), "answer.seq", "event %d follows %d events", event.Seq, a.nextSeq())
		a.events = append(a.events, event)
		a.bufferedBytes += len(event.Text)
		a.unreadBytes += len(event.Text)
		a.outputTokens += event.Tokens
		a.notify()

		return true, nil
	})
}

func (a *ResponseBuffer) complete(outcome Outcome[engine.Event]) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.outcome = &outcome
	a.notify()
}

// take marks every event as taken and forgets those beyond the history.
func (a *ResponseBuffer) markRead() {
	a.nextRead = a.nextSeq()
	a.unreadBytes = 0

	dropped := 0

	for len(a.events)-dropped > maxReplayEvents || a.bufferedBytes > maxReplayBytes && len(a.events)-dropped > 1 {
		a.bufferedBytes -= len(a.events[dropped].Text)
		dropped++
	}

	if dropped > 0 {
		a.events = append([]engine.Event(nil), a.events[dropped:]...)
		a.firstSeq += int64(dropped)
	}

	invariant.Check(len(a.events) <= maxReplayEvents, "answer.kept", "%d events are kept", len(a.events))
	a.notify()
}

// OutputTokens returns the number of tokens of the answer so far, whichever readers took them.
func (a *ResponseBuffer) OutputTokens() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.outputTokens
}

func textSize(events []engine.Event) int {
	total := 0
	for _, event := range events {
		total += len(event.Text)
	}

	return total
}

func (a *ResponseBuffer) nextSeq() int64 {
	return a.firstSeq + int64(len(a.events))
}

// wake wakes every waiter.
func (a *ResponseBuffer) notify() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// wait calls ready under the lock until it returns true or an error.
func (a *ResponseBuffer) wait(ctx context.Context, done func() (bool, error)) error {
	for {
		a.mu.Lock()
		ok, err := done()

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
