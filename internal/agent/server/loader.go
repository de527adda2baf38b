package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/agent/orders"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// slowLoad is the duration of a load above which the weight store counts as busy.
	slowLoad = time.Second
	// longestPause bounds the pause after a slow load.
	longestPause = 5 * time.Second
	// budgetTimeout bounds one wait for the load budget, after which the wish for a load is looked at again.
	budgetTimeout = 5 * time.Second
	// retryPause is the pause after a load that could not be started.
	retryPause = 250 * time.Millisecond
)

// loader carries out loads one at a time until the context ends.
func (s *Server) loader(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.gate.wants(time.Now()) {
			select {
			case <-s.wake:
			case <-ctx.Done():
			}

			continue
		}

		pause := s.loadNext(ctx)

		if pause > 0 {
			wait(ctx, pause)
		}
	}
}

// loadNext carries out the next load and returns the pause to make after it.
func (s *Server) loadNext(ctx context.Context) time.Duration {
	asked := time.Now()

	if _, err := s.fence.Number(ctx); err != nil {
		return retryPause
	}

	if err := s.take(ctx); err != nil {
		logrus.WithField("component", component).WithError(err).Warn("no budget for an adapter load")
		return retryPause
	}

	plan, found := s.gate.next(time.Now(), asked)
	if !found {
		return 0
	}

	began := time.Now()
	err := s.load(ctx, plan)
	took := time.Since(began)

	switch {
	case errors.Is(err, orders.ErrInUse):
		s.gate.abandon(time.Now(), plan.Victim)
		return retryPause
	case fault.Is(err, fault.Conflict):
		s.gate.stall(time.Now(), err)
		return retryPause
	case errors.Is(err, orders.ErrRestarted), errors.Is(err, orders.ErrNotStarted):
		s.gate.abandon(time.Now(), nil)
		return retryPause
	}

	s.count(plan, took, err)
	s.gate.loaded(time.Now(), err)

	return min(max(0, took-slowLoad), longestPause)
}

func (s *Server) take(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()

	return s.LoadBudget.Take(ctx)
}

func (s *Server) load(ctx context.Context, plan slots.Plan) error {
	info := s.backend.current()
	order := orders.Load{
		Adapter: plan.Adapter,
		Victim:  plan.Victim,
		Boot:    info.Boot,
		Fenced:  info.Fencing,
		Own:     s.runs.own,
	}

	return s.orders.Load(ctx, order, func() {
		s.gate.unloaded(time.Now(), *plan.Victim)
	})
}

func (s *Server) count(plan slots.Plan, took time.Duration, err error) {
	loadTime.Update(took)

	fields := logrus.Fields{"component": component, "server": s.Settings.Server, "adapter": plan.Adapter.Name, "version": plan.Adapter.Version}

	if plan.Victim != nil {
		evictions.Inc(1)
	}

	if err != nil {
		loadFailures.Inc(1)
		logrus.WithFields(fields).WithError(err).Warn("adapter load failed")

		return
	}

	logrus.WithFields(fields).WithField("took", took.String()).Debug("adapter loaded")
}

func wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
