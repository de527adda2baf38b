// Package worker sends one request to the backend server and handles its response.
package worker

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

const (
	// maxUnreadEvents is the maximum number of buffered events that the reader has not read. While it is reached, the engine's
	// stream is not read.
	maxUnreadEvents = 256
	// maxUnreadBytes is the size of the unread text from which on the engine's stream is not read.
	maxUnreadBytes = 256 << 10
	// maxReplayEvents is the maximum number of events that are kept after they were read, for a reader that resumes because they
	// were lost in transit.
	maxReplayEvents = 256
	// maxReplayBytes is the maximum size of the text that is kept after it was read; the last event is always kept.
	maxReplayBytes = 256 << 10
)

// ErrReplaced is returned to a reader after another reader has attached.
var ErrReplaced = errors.New("another reader resumed the response")

// ErrNotBuffered is returned if the requested events are not in the buffer.
var ErrNotBuffered = errors.New("the requested events are not buffered")

// Outcome is the outcome of a request. Exactly one of Value and Err is set.
type Outcome[T any] struct {
	// Value is the result of a request that completed.
	Value *T
	// Err is the failure; it has a fault kind.
	Err error
	// Refused is true, together with Err, if the backend server certainly did not run the request.
	Refused bool
}

// ResponseBuffer buffers the events of one generation between the engine and a reader, which another reader can replace.
type ResponseBuffer struct {
	mu sync.Mutex
	// events holds the buffered events. Their sequence numbers start at firstSeq and have no gaps.
	events   []engine.Event
	firstSeq int64
	// nextRead is the sequence number of the next event to read.
	nextRead int64
	// bufferedBytes and unreadBytes are the text sizes of the buffered and of the unread events.
	bufferedBytes int
	unreadBytes   int
	// outputTokens is the number of tokens of the response so far.
	outputTokens int64
	// readerID is the id of the current reader.
	readerID int64
	accepted bool
	outcome  *Outcome[engine.Event]
	// changed is closed by notify; nil while nothing waits.
	changed chan struct{}
}

// Attach makes the caller the only reader, starting at sequence number from, and returns its reader id.
func (b *ResponseBuffer) Attach(from int64) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if from < b.firstSeq || from > b.nextSeq() {
		return 0, ErrNotBuffered
	}

	b.readerID++
	b.nextRead = from
	b.unreadBytes = textSize(b.events[from-b.firstSeq:])
	b.notify()

	return b.readerID, nil
}

// WaitAccepted waits until the engine has accepted the request or the request has ended.
func (b *ResponseBuffer) WaitAccepted(ctx context.Context) error {
	return b.wait(ctx, func() (bool, error) {
		return b.accepted || b.outcome != nil, nil
	})
}

// Read waits for and returns the next events, or the outcome once all events were read.
func (b *ResponseBuffer) Read(ctx context.Context, reader int64) (events []engine.Event, outcome *Outcome[engine.Event], err error) {
	err = b.wait(ctx, func() (bool, error) {
		if reader != b.readerID {
			return false, ErrReplaced
		}

		if b.nextRead < b.nextSeq() {
			events = append(events, b.events[b.nextRead-b.firstSeq:]...)
			b.markRead()

			return true, nil
		}

		outcome = b.outcome

		return outcome != nil, nil
	})

	return events, outcome, err
}

// Outcome returns the outcome of the request, or nil while it runs.
func (b *ResponseBuffer) Outcome() *Outcome[engine.Event] {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.outcome
}

// markAccepted records that the engine has accepted the request.
func (b *ResponseBuffer) markAccepted() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.accepted = true
	b.notify()
}

// write appends the next event; it waits while the unread events reach maxUnreadEvents or maxUnreadBytes.
func (b *ResponseBuffer) write(ctx context.Context, event engine.Event) error {
	return b.wait(ctx, func() (bool, error) {
		if b.nextSeq()-b.nextRead >= maxUnreadEvents || b.unreadBytes >= maxUnreadBytes {
			return false, nil
		}

		invariant.Check(event.Seq == b.nextSeq(), "answer.seq", "event has sequence number %d instead of %d", event.Seq, b.nextSeq())
		b.events = append(b.events, event)
		b.bufferedBytes += len(event.Text)
		b.unreadBytes += len(event.Text)
		b.outputTokens += event.Tokens
		b.notify()

		return true, nil
	})
}

// complete sets the outcome of the request.
func (b *ResponseBuffer) complete(outcome Outcome[engine.Event]) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.outcome = &outcome
	b.notify()
}

// markRead marks all events as read and removes those beyond maxReplayEvents and maxReplayBytes.
func (b *ResponseBuffer) markRead() {
	b.nextRead = b.nextSeq()
	b.unreadBytes = 0

	dropped := 0

	for len(b.events)-dropped > maxReplayEvents || b.bufferedBytes > maxReplayBytes && len(b.events)-dropped > 1 {
		b.bufferedBytes -= len(b.events[dropped].Text)
		dropped++
	}

	if dropped > 0 {
		b.events = append([]engine.Event(nil), b.events[dropped:]...)
		b.firstSeq += int64(dropped)
	}

	invariant.Check(len(b.events) <= maxReplayEvents, "answer.kept", "%d events are buffered", len(b.events))
	b.notify()
}

// OutputTokens returns the number of tokens of the response so far, including those read by earlier readers.
func (b *ResponseBuffer) OutputTokens() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.outputTokens
}

func textSize(events []engine.Event) int {
	total := 0
	for _, event := range events {
		total += len(event.Text)
	}

	return total
}

func (b *ResponseBuffer) nextSeq() int64 {
	return b.firstSeq + int64(len(b.events))
}

// notify wakes all waiters.
func (b *ResponseBuffer) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// wait calls done with the mutex held, again after each notify, until it returns true or an error or the context ends.
func (b *ResponseBuffer) wait(ctx context.Context, done func() (bool, error)) error {
	for {
		b.mu.Lock()
		ok, err := done()

		if ok || err != nil {
			b.mu.Unlock()
			return err
		}

		if b.changed == nil {
			b.changed = make(chan struct{})
		}

		changed := b.changed
		b.mu.Unlock()

		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
