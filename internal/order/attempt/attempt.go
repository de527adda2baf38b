// Package attempt records the attempts of non-idempotent calls that one agent process has seen, so that each runs at most
// once. An attempt is one try to run a call at one agent process; its id is never used for another try.
package attempt

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// State is the state of an attempt.
type State int

// The states. Refused, Done and Unknown are final, except that Done becomes Unknown when the outcome is dropped to save memory.
const (
	// Unseen is the state of an attempt without a record.
	Unseen State = iota
	// Refused means that the attempt has not run and may not run.
	Refused
	// Queued means that the attempt has not started.
	Queued
	// Running means that the attempt may have been sent to the backend server.
	Running
	// Done means that the attempt has completed and its outcome is recorded.
	Done
	// Unknown means that the attempt was started and its outcome is not known or was dropped.
	Unknown
)

// Record is the state of one attempt, with its outcome of type T.
type Record[T any] struct {
	State State
	// Outcome is set when State is Done.
	Outcome T
	// outcomeBytes is the size of Outcome, in bytes.
	outcomeBytes int64
	// finalizedAt is when the state became final.
	finalizedAt time.Time
}

// Registry holds the attempts of one agent process. It is not safe for concurrent use.
type Registry[T any] struct {
	// Retention is the minimum time for which a final state is kept.
	Retention time.Duration
	// TicketLifetime is the lifetime of a ticket. A record is kept at least as long, because a message with its ticket could
	// still be accepted.
	TicketLifetime time.Duration
	// MaxRecords bounds the number of records. Beyond it, new attempts are refused; no record is removed early.
	MaxRecords int
	// OutcomeSize returns the size of an outcome in bytes, and MaxOutcomeBytes bounds their sum; beyond it the oldest
	// outcomes are dropped and their attempts become Unknown. A nil OutcomeSize means no bound.
	OutcomeSize     func(outcome T) int64
	MaxOutcomeBytes int64

	records map[string]*Record[T]
	// totalOutcomeBytes is the sum of the sizes of the outcomes; at most MaxOutcomeBytes.
	totalOutcomeBytes int64
	// finalIDs lists the ids of the records with a final state, in the order in which they became final.
	finalIDs []string
}

// Begin records an attempt as queued. It returns an error, after which the attempt must not be run, if the attempt was seen
// before or the registry is full.
func (r *Registry[T]) Begin(now time.Time, id string) error {
	r.removeExpired(now)

	if record := r.records[id]; record != nil {
		if record.State == Refused {
			return fault.New(fault.AttemptRefused, "attempt %s was refused before", id)
		}

		return fault.New(fault.InProgress, "attempt %s was seen before", id)
	}

	if len(r.records) >= r.MaxRecords {
		return fault.New(fault.Overloaded, "too many recorded attempts")
	}

	r.addRecord(id, &Record[T]{State: Queued})

	return nil
}

// Start changes a queued attempt to running, and reports whether it may run.
func (r *Registry[T]) Start(id string) bool {
	record := r.records[id]
	if record == nil || record.State != Queued {
		return false
	}

	record.State = Running

	return true
}

// Refuse changes a queued attempt to refused. For a running attempt that was not sent, MarkNotRun does so.
func (r *Registry[T]) Refuse(now time.Time, id string) {
	if record := r.records[id]; record != nil && record.State == Queued {
		r.finalize(now, id, record, Refused)
	}
}

// Finish changes a running attempt to Done with its outcome, or to Unknown if the outcome is not known.
func (r *Registry[T]) Finish(now time.Time, id string, outcome T, known bool) {
	record := r.records[id]

	running := record != nil && record.State == Running
	invariant.Check(running, "attempt.finish", "attempt %s finished without running", id)

	if !running {
		return
	}

	if !known {
		r.finalize(now, id, record, Unknown)
		return
	}

	record.Outcome = outcome
	record.outcomeBytes = r.sizeOf(outcome)
	r.totalOutcomeBytes += record.outcomeBytes
	r.finalize(now, id, record, Done)
	r.dropOldestOutcomes()
}

// dropOldestOutcomes drops the oldest outcomes until the rest is within MaxOutcomeBytes. Their attempts become Unknown.
func (r *Registry[T]) dropOldestOutcomes() {
	for _, id := range r.finalIDs {
		if r.OutcomeSize == nil || r.totalOutcomeBytes <= r.MaxOutcomeBytes {
			return
		}

		if record := r.records[id]; record.State == Done {
			record.State = Unknown
			r.dropOutcome(record)
		}
	}
}

// dropOutcome drops the outcome of a record.
func (r *Registry[T]) dropOutcome(record *Record[T]) {
	var none T

	r.totalOutcomeBytes -= record.outcomeBytes
	record.outcomeBytes = 0
	record.Outcome = none
}

func (r *Registry[T]) sizeOf(outcome T) int64 {
	if r.OutcomeSize == nil {
		return 0
	}

	return r.OutcomeSize(outcome)
}

// MarkNotRun changes a running attempt to refused, as Refuse does for a queued one. The caller is certain that
// nothing was sent to the backend server.
func (r *Registry[T]) MarkNotRun(now time.Time, id string) {
	if record := r.records[id]; record != nil && record.State == Running {
		r.finalize(now, id, record, Refused)
	}
}

// Query returns the record of an attempt. With refuse, an attempt that was not seen is refused from then on.
func (r *Registry[T]) Query(now time.Time, id string, refuse bool) Record[T] {
	r.removeExpired(now)

	if record := r.records[id]; record != nil {
		return *record
	}

	if !refuse {
		return Record[T]{}
	}

	record := &Record[T]{}
	r.addRecord(id, record)
	r.finalize(now, id, record, Refused)

	return *record
}

func (r *Registry[T]) addRecord(id string, record *Record[T]) {
	if r.records == nil {
		r.records = map[string]*Record[T]{}
	}

	r.records[id] = record
}

func (r *Registry[T]) finalize(now time.Time, id string, record *Record[T], state State) {
	record.State = state
	record.finalizedAt = now
	r.finalIDs = append(r.finalIDs, id)
}

// removeExpired removes the records that have been final for longer than Retention and TicketLifetime.
func (r *Registry[T]) removeExpired(now time.Time) {
	keep := max(r.Retention, r.TicketLifetime)

	for len(r.finalIDs) > 0 {
		id := r.finalIDs[0]
		if now.Sub(r.records[id].finalizedAt) <= keep {
			return
		}

		r.dropOutcome(r.records[id])
		delete(r.records, id)
		r.finalIDs = r.finalIDs[1:]
	}
}
