package server

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// renewal is by how much a confirmation must be newer to be passed on, so that not every request wakes the watchers.
	renewal = 500 * time.Millisecond
	// catchUpTimeout bounds the wait for a document version that an entry has and this process lacks.
	catchUpTimeout = time.Second
)

// arrival is a request with what is known of it on arrival.
type arrival struct {
	request *rpc.RunRequest
	at      time.Time
	// deadline is on this process's clock.
	deadline time.Time
	// confirmed is when the entry confirmed its document, on this process's clock and at the earliest.
	confirmed time.Time
}

func newArrival(now time.Time, request *rpc.RunRequest) *arrival {
	return &arrival{
		request:   request,
		at:        now,
		deadline:  now.Add(time.Duration(request.RemainingMs) * time.Millisecond),
		confirmed: now.Add(-time.Duration(request.ConfigAgeMs) * time.Millisecond),
	}
}

// arrive makes the checks on arrival.
func (s *Server) arrive(ctx context.Context, request *rpc.RunRequest) (*arrival, error) {
	now := time.Now()
	a := newArrival(now, request)

	if err := s.checkSender(ctx, now, a); err != nil {
		return nil, err
	}

	return a, s.check(time.Now(), a)
}

// checkSender checks that the entry may start work here, and brings the document to the entry's version.
func (s *Server) checkSender(ctx context.Context, now time.Time, a *arrival) error {
	if a.request.Boot != s.boot {
		return fault.New(fault.BootChanged, "this is agent process %s", s.boot)
	}

	if s.Board.Draining.Value() {
		return fault.New(fault.Draining, "the agent is shutting down")
	}

	// A request that waited in the queue may outlive its ticket: the ticket bounds how long an entry may have been frozen
	// before it sent the request.
	transit, ok := s.tickets.check(now, a.request.Entry, a.request.Ticket)
	if !ok {
		return fault.New(fault.TicketExpired, "the ticket has expired")
	}

	a.confirmed = a.confirmed.Add(-transit)

	return s.catchUp(ctx, a)
}

// check makes the checks that hold both on arrival and at the start of the work. Work that was queued before a drain began
// is finished by it.
func (s *Server) check(now time.Time, a *arrival) error {
	if !s.backend.up() {
		return fault.New(fault.NotReady, "the backend server does not answer")
	}

	if !now.Before(a.deadline) {
		return fault.New(fault.Overloaded, "the deadline has passed")
	}

	return s.checkDocument(now, a)
}

func (s *Server) checkDocument(now time.Time, a *arrival) error {
	doc := s.Board.Document.Value()
	if doc == nil {
		return fault.New(fault.NotReady, "no fleet document yet")
	}

	if doc.Domains[s.Settings.Place.Domain].Out {
		return fault.New(fault.Draining, "failure domain %s is out of service", s.Settings.Place.Domain)
	}

	if doc.VMs[s.Settings.Place.VM].Out {
		return fault.New(fault.Draining, "VM %s is out of service", s.Settings.Place.VM)
	}

	if a.request.Key == "" {
		return s.checkOpen(a)
	}

	key, known := doc.Keys[a.request.Key]

	if !known {
		return fault.New(fault.KeyUnknown, "no client account has this key")
	}

	if _, revoked := s.Board.PendingRevocations.Value()[a.request.Key]; revoked || key.Revoked {
		return fault.New(fault.KeyRevoked, "the key was revoked")
	}

	if key.Account != a.request.Account {
		return fault.New(fault.Forbidden, "the key belongs to another client account")
	}

	return s.checkFresh(now, a)
}

// checkOpen allows a request without a key only on a route that is open to all.
func (s *Server) checkOpen(a *arrival) error {
	if !s.Board.Document.Value().Routes[a.request.Route].Open {
		return fault.New(fault.KeyMissing, "the route %q needs a key", a.request.Route)
	}

	return nil
}

// checkFresh requires a confirmation within board.MaxConfirmationAge: by this process itself, or by the entry, whose version
// this process has reached.
func (s *Server) checkFresh(now time.Time, a *arrival) error {
	confirmed := s.Board.Confirmation.Value().AsOf

	if a.request.ConfigAgeMs >= 0 && a.confirmed.After(confirmed) {
		confirmed = a.confirmed
	}

	if confirmed.IsZero() || now.Sub(confirmed) > board.MaxConfirmationAge {
		return fault.New(fault.StaleConfig, "the configuration was not confirmed within %s", board.MaxConfirmationAge)
	}

	return nil
}

// catchUp brings the document to the entry's version and refuses an entry whose own confirmation is too old.
func (s *Server) catchUp(ctx context.Context, a *arrival) error {
	age := time.Duration(a.request.ConfigAgeMs) * time.Millisecond

	if a.request.Key != "" && (age < 0 || age > board.MaxConfirmationAge) {
		return fault.New(fault.StaleConfig, "the entry's configuration was not confirmed within %s", board.MaxConfirmationAge)
	}

	if s.version() < a.request.ConfigVersion {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		defer cancel()

		if err := s.Source.CatchUp(ctx, a.request.ConfigVersion); err != nil || s.version() < a.request.ConfigVersion {
			return fault.Wrap(err, fault.StaleConfig, "version %d of the configuration is not known here", a.request.ConfigVersion)
		}
	}

	s.confirm(a)

	return nil
}

// confirm passes the entry's confirmation on, unless that would renew the own one by little.
func (s *Server) confirm(a *arrival) {
	if a.request.Key == "" || a.confirmed.Sub(s.Board.Confirmation.Value().AsOf) < renewal {
		return
	}

	s.Source.Confirm(a.request.ConfigVersion, a.confirmed)
}

func (s *Server) version() int64 {
	if doc := s.Board.Document.Value(); doc != nil {
		return doc.Version
	}

	return 0
}
