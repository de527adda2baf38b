package server

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// minConfirmationAdvance is by how much an entry's confirmation must be newer than the current one to be applied, so that
	// not every request notifies the watchers of the board.
	minConfirmationAdvance = 500 * time.Millisecond
	// catchUpTimeout limits the wait for a document version that an entry has and this process lacks.
	catchUpTimeout = time.Second
)

// incomingRequest is a request with the times that are derived from it on arrival.
type incomingRequest struct {
	request    *rpc.RunRequest
	receivedAt time.Time
	// deadline is the caller's deadline on this process's clock.
	deadline time.Time
	// confirmedAt is the earliest time at which the entry may have confirmed its document, on this process's clock.
	confirmedAt time.Time
}

func newIncomingRequest(now time.Time, request *rpc.RunRequest) *incomingRequest {
	return &incomingRequest{
		request:     request,
		receivedAt:  now,
		deadline:    now.Add(time.Duration(request.RemainingMs) * time.Millisecond),
		confirmedAt: now.Add(-time.Duration(request.ConfigAgeMs) * time.Millisecond),
	}
}

// checkArrival runs the checks that a request must pass on arrival.
func (s *Server) checkArrival(ctx context.Context, request *rpc.RunRequest) (*incomingRequest, error) {
	now := time.Now()
	in := newIncomingRequest(now, request)

	if err := s.checkSender(ctx, now, in); err != nil {
		return nil, err
	}

	return in, s.check(time.Now(), in)
}

// checkSender checks that the entry may send requests to this process, and updates the document to the entry's version.
func (s *Server) checkSender(ctx context.Context, now time.Time, in *incomingRequest) error {
	if in.request.Boot != s.boot {
		return fault.New(fault.BootChanged, "this is agent process %s", s.boot)
	}

	if s.Board.Draining.Value() {
		return fault.New(fault.Draining, "the agent is shutting down")
	}

	// The ticket is checked on arrival only: it limits how long an entry may have been paused before it sent the request.
	// A request may wait in the queue for longer than its ticket is valid.
	transit, ok := s.tickets.check(now, in.request.Entry, in.request.Ticket)
	if !ok {
		return fault.New(fault.TicketExpired, "the ticket has expired")
	}

	in.confirmedAt = in.confirmedAt.Add(-transit)

	return s.catchUp(ctx, in)
}

// check runs the checks that a request must pass both on arrival and when it leaves the queue. It does not check for a
// drain, because requests that were queued before the drain are still run.
func (s *Server) check(now time.Time, in *incomingRequest) error {
	if !s.backend.up() {
		return fault.New(fault.NotReady, "the backend server does not respond")
	}

	if !now.Before(in.deadline) {
		return fault.New(fault.Overloaded, "the deadline has passed")
	}

	return s.checkDocument(now, in)
}

func (s *Server) checkDocument(now time.Time, in *incomingRequest) error {
	doc := s.Board.Document.Value()
	if doc == nil {
		return fault.New(fault.NotReady, "the fleet document is not loaded yet")
	}

	if doc.Domains[s.Settings.Place.Domain].Out {
		return fault.New(fault.Draining, "failure domain %s is out of service", s.Settings.Place.Domain)
	}

	if doc.VMs[s.Settings.Place.VM].Out {
		return fault.New(fault.Draining, "VM %s is out of service", s.Settings.Place.VM)
	}

	if in.request.Key == "" {
		return s.checkOpenRoute(in)
	}

	key, known := doc.Keys[in.request.Key]

	if !known {
		return fault.New(fault.KeyUnknown, "the key belongs to no client account")
	}

	if _, revoked := s.Board.PendingRevocations.Value()[in.request.Key]; revoked || key.Revoked {
		return fault.New(fault.KeyRevoked, "the key was revoked")
	}

	if key.Account != in.request.Account {
		return fault.New(fault.Forbidden, "the key belongs to another client account")
	}

	return s.checkConfirmation(now, in)
}

// checkOpenRoute refuses a request without a key unless its route is open.
func (s *Server) checkOpenRoute(in *incomingRequest) error {
	if !s.Board.Document.Value().Routes[in.request.Route].Open {
		return fault.New(fault.KeyMissing, "route %q requires a key", in.request.Route)
	}

	return nil
}

// checkConfirmation checks that the document was confirmed within board.MaxConfirmationAge, either by this process or by the
// entry. The entry's confirmation counts because this process has its version or a higher one.
func (s *Server) checkConfirmation(now time.Time, in *incomingRequest) error {
	confirmed := s.Board.Confirmation.Value().AsOf

	if in.request.ConfigAgeMs >= 0 && in.confirmedAt.After(confirmed) {
		confirmed = in.confirmedAt
	}

	if confirmed.IsZero() || now.Sub(confirmed) > board.MaxConfirmationAge {
		return fault.New(fault.StaleConfig, "the configuration was not confirmed within %s", board.MaxConfirmationAge)
	}

	return nil
}

// catchUp updates the document to the entry's version. It refuses an entry whose own confirmation is too old.
func (s *Server) catchUp(ctx context.Context, in *incomingRequest) error {
	age := time.Duration(in.request.ConfigAgeMs) * time.Millisecond

	if in.request.Key != "" && (age < 0 || age > board.MaxConfirmationAge) {
		return fault.New(fault.StaleConfig, "the entry's configuration was not confirmed within %s", board.MaxConfirmationAge)
	}

	if s.version() < in.request.ConfigVersion {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		defer cancel()

		if err := s.Source.CatchUp(ctx, in.request.ConfigVersion); err != nil || s.version() < in.request.ConfigVersion {
			return fault.Wrap(err, fault.StaleConfig, "version %d of the configuration is not available", in.request.ConfigVersion)
		}
	}

	s.forwardConfirmation(in)

	return nil
}

// forwardConfirmation passes the entry's confirmation to the source, unless it is only slightly newer than the current one.
func (s *Server) forwardConfirmation(in *incomingRequest) {
	if in.request.Key == "" || in.confirmedAt.Sub(s.Board.Confirmation.Value().AsOf) < minConfirmationAdvance {
		return
	}

	s.Source.Confirm(in.request.ConfigVersion, in.confirmedAt)
}

// version returns the version of the current document, or 0 if there is none.
func (s *Server) version() int64 {
	if doc := s.Board.Document.Value(); doc != nil {
		return doc.Version
	}

	return 0
}
