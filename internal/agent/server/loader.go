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
	// slowLoadThreshold is the duration of a load above which the weight store is considered busy.
	slowLoadThreshold = time.Second
	// maxSlowLoadPause limits the pause after a slow load.
	maxSlowLoadPause = 5 * time.Second
	// budgetTimeout limits one wait for the load budget, after which the pending loads are checked again.
	budgetTimeout = 5 * time.Second
	// loadRetryDelay is the delay after a load that could not be started.
	loadRetryDelay = 250 * time.Millisecond
)

// runLoader executes adapter loads one at a time until the context ends.
func (s *Server) runLoader(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.scheduler.canLoad(time.Now()) {
			select {
			case <-s.loaderWake:
			case <-ctx.Done():
			}

			continue
		}

		pause := s.loadNext(ctx)

		if pause > 0 {
			sleep(ctx, pause)
		}
	}
}

// loadNext executes the next load and returns the delay before the one after it.
func (s *Server) loadNext(ctx context.Context) time.Duration {
	budgetRequested := time.Now()

	if _, err := s.fence.Number(ctx); err != nil {
		return loadRetryDelay
	}

	if err := s.takeLoadBudget(ctx); err != nil {
		logrus.WithField("component", component).WithError(err).Warn("adapter load delayed: no load budget available")
		return loadRetryDelay
	}

	plan, found := s.scheduler.startLoad(time.Now(), budgetRequested)
	if !found {
		return 0
	}

	began := time.Now()
	err := s.load(ctx, plan)
	took := time.Since(began)

	switch {
	case errors.Is(err, orders.ErrInUse):
		s.scheduler.abandonLoad(time.Now(), plan.Victim)
		return loadRetryDelay
	case fault.Is(err, fault.Conflict):
		s.scheduler.refuseBlocked(time.Now(), err)
		return loadRetryDelay
	case errors.Is(err, orders.ErrRestarted), errors.Is(err, orders.ErrNotStarted):
		s.scheduler.abandonLoad(time.Now(), nil)
		return loadRetryDelay
	}

	s.recordLoad(plan, took, err)
	s.scheduler.finishLoad(time.Now(), err)

	return min(max(0, took-slowLoadThreshold), maxSlowLoadPause)
}

func (s *Server) takeLoadBudget(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()

	return s.LoadBudget.Take(ctx)
}

func (s *Server) load(ctx context.Context, plan slots.Plan) error {
	info := s.backend.engineInfo()
	order := orders.Load{
		Adapter:       plan.Adapter,
		Victim:        plan.Victim,
		Boot:          info.Boot,
		ChecksFencing: info.Fencing,
		IsOwnRequest:  s.generations.isOwn,
	}

	return s.adapterLoader.Load(ctx, order, func() {
		s.scheduler.unloaded(time.Now(), *plan.Victim)
	})
}

// recordLoad updates the metrics of loads and logs the result of one.
func (s *Server) recordLoad(plan slots.Plan, took time.Duration, err error) {
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

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
