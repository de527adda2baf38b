// Package attempt is the at-most-once record of the non-idempotent calls that one agent process has seen.
package attempt

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// State is what is known of an attempt.
type State int

// The states. Refused, Done and Unknown are final.
const (
	Unseen State = iota
	Refused
	Queued
	Running
	Done
	Unknown
)

// Record is one attempt with its outcome of type T.
type Record[T any] struct {
	State State
	// Outcome is set when State is Done.
	Outcome T
	// ended is when the state became final.
	ended time.Time
}

// Book holds the attempts of one agent process. It is not safe for concurrent use.
type Book[T any] struct {
	// Retention is how long a final state is kept.
	Retention time.Duration
	// Ticket is the lifetime of a ticket; no attempt is forgotten while a message with its ticket could still be accepted.
	Ticket time.Duration
	// Capacity bounds the number of records; new attempts are refused beyond it, and none is forgotten early.
	Capacity int

	records map[string]*Record[T]
	// final lists the ids of final records in the order of their end.
	final []string
}

// Begin records an attempt as queued; an attempt seen before is an error and must not be run.
func (b *Book[T]) Begin(now time.Time, id string) error {
	b.forget(now)

	if record := b.records[id]; record != nil {
		if record.State == Refused {
			return fault.New(fault.AttemptRefused, "attempt %s was refused before", id)
		}

		return fault.New(fault.InProgress, "attempt %s was seen before", id)
	}

	if len(b.records) >= b.Capacity {
		return fault.New(fault.Overloaded, "too many recorded attempts")
	}

	b.put(id, &Record[T]{State: Queued})

	return nil
}

// Start marks a queued attempt as running, and reports whether it may run.
func (b *Book[T]) Start(id string) bool {
	record := b.records[id]
	if record == nil || record.State != Queued {
		return false
	}

	record.State = Running

	return true
}

// Refuse ends a queued attempt that was not run.
func (b *Book[T]) Refuse(now time.Time, id string) {
	if record := b.records[id]; record != nil && record.State == Queued {
		b.end(now, id, record, Refused)
	}
}

// Finish ends a running attempt: with its outcome if known, else as Unknown.
func (b *Book[T]) Finish(now time.Time, id string, outcome T, known bool) {
	record := b.records[id]

	running := record != nil && record.State == Running
	invariant.Check(running, "attempt.finish", "attempt %s ends without running", id)

	if !running {
		return
	}

	if !known {
		b.end(now, id, record, Unknown)
		return
	}

	record.Outcome = outcome
	b.end(now, id, record, Done)
}

// Revert ends a running attempt of which the backend server surely was given nothing.
func (b *Book[T]) Revert(now time.Time, id string) {
	if record := b.records[id]; record != nil && record.State == Running {
		b.end(now, id, record, Refused)
	}
}

// Query returns what is known of an attempt; with refuse, one never seen is refused from then on.
func (b *Book[T]) Query(now time.Time, id string, refuse bool) Record[T] {
	b.forget(now)

	if record := b.records[id]; record != nil {
		return *record
	}

	if !refuse {
		return Record[T]{}
	}

	record := &Record[T]{}
	b.put(id, record)
	b.end(now, id, record, Refused)

	return *record
}

func (b *Book[T]) put(id string, record *Record[T]) {
	if b.records == nil {
		b.records = map[string]*Record[T]{}
	}

	b.records[id] = record
}

func (b *Book[T]) end(now time.Time, id string, record *Record[T], state State) {
	record.State = state
	record.ended = now
	b.final = append(b.final, id)
}

func (b *Book[T]) forget(now time.Time) {
	keep := max(b.Retention, b.Ticket)

	for len(b.final) > 0 {
		id := b.final[0]
		if now.Sub(b.records[id].ended) <= keep {
			return
		}

		delete(b.records, id)
		b.final = b.final[1:]
	}
}
