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
	// size is that of Outcome, in bytes.
	size int64
	// ended is when the state became final.
	ended time.Time
}

// Registry holds the attempts of one agent process. It is not safe for concurrent use.
type Registry[T any] struct {
	// Retention is how long a final state is kept.
	Retention time.Duration
	// TicketLifetime is the lifetime of a ticket; no attempt is forgotten while a message with its ticket could still be
	// accepted.
	TicketLifetime time.Duration
	// MaxRecords bounds the number of records; new attempts are refused beyond it, and none is forgotten early.
	MaxRecords int
	// OutcomeSize returns the size of an outcome in bytes, and MaxOutcomeBytes bounds their sum; beyond it the oldest
	// outcomes are dropped and their attempts become Unknown. A nil OutcomeSize means no bound.
	OutcomeSize     func(outcome T) int64
	MaxOutcomeBytes int64

	records map[string]*Record[T]
	// held is the sum of the sizes of outcomes; at most MaxOutcomeBytes.
	held int64
	// final lists the ids of final records in the order of their end.
	final []string
}

// Begin records an attempt as queued; an attempt seen before is an error and must not be run.
func (b *Registry[T]) Begin(now time.Time, id string) error {
	b.forget(now)

	if record := b.records[id]; record != nil {
		if record.State == Refused {
			return fault.New(fault.AttemptRefused, "attempt %s was refused before", id)
		}

		return fault.New(fault.InProgress, "attempt %s was seen before", id)
	}

	if len(b.records) >= b.MaxRecords {
		return fault.New(fault.Overloaded, "too many recorded attempts")
	}

	b.put(id, &Record[T]{State: Queued})

	return nil
}

// Start marks a queued attempt as running, and reports whether it may run.
func (b *Registry[T]) Start(id string) bool {
	record := b.records[id]
	if record == nil || record.State != Queued {
		return false
	}

	record.State = Running

	return true
}

// Refuse ends a queued attempt that was not run.
func (b *Registry[T]) Refuse(now time.Time, id string) {
	if record := b.records[id]; record != nil && record.State == Queued {
		b.end(now, id, record, Refused)
	}
}

// Finish ends a running attempt: with its outcome if known, else as Unknown.
func (b *Registry[T]) Finish(now time.Time, id string, outcome T, known bool) {
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
	record.size = b.size(outcome)
	b.held += record.size
	b.end(now, id, record, Done)
	b.shrink()
}

// shrink drops the oldest outcomes until the rest is within the budget.
func (b *Registry[T]) shrink() {
	for _, id := range b.final {
		if b.OutcomeSize == nil || b.held <= b.MaxOutcomeBytes {
			return
		}

		if record := b.records[id]; record.State == Done {
			record.State = Unknown
			b.drop(record)
		}
	}
}

// drop gives up the outcome of a record.
func (b *Registry[T]) drop(record *Record[T]) {
	var none T

	b.held -= record.size
	record.size = 0
	record.Outcome = none
}

func (b *Registry[T]) size(outcome T) int64 {
	if b.OutcomeSize == nil {
		return 0
	}

	return b.OutcomeSize(outcome)
}

// MarkNotRun ends a running attempt as refused, because nothing of it was sent to the backend server.
func (b *Registry[T]) MarkNotRun(now time.Time, id string) {
	if record := b.records[id]; record != nil && record.State == Running {
		b.end(now, id, record, Refused)
	}
}

// Query returns what is known of an attempt; with refuse, one never seen is refused from then on.
func (b *Registry[T]) Query(now time.Time, id string, refuse bool) Record[T] {
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

func (b *Registry[T]) put(id string, record *Record[T]) {
	if b.records == nil {
		b.records = map[string]*Record[T]{}
	}

	b.records[id] = record
}

func (b *Registry[T]) end(now time.Time, id string, record *Record[T], state State) {
	record.State = state
	record.ended = now
	b.final = append(b.final, id)
}

func (b *Registry[T]) forget(now time.Time) {
	keep := max(b.Retention, b.TicketLifetime)

	for len(b.final) > 0 {
		id := b.final[0]
		if now.Sub(b.records[id].ended) <= keep {
			return
		}

		b.drop(b.records[id])
		delete(b.records, id)
		b.final = b.final[1:]
	}
}
