package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// pollInterval is the time between two polls of the engine.
	pollInterval = 500 * time.Millisecond
	// pollTimeout limits one poll.
	pollTimeout = time.Second
	// maxPollFailures is the number of consecutive failed polls after which the engine is considered down.
	maxPollFailures = 2
)

// backendState is the last known state of the backend server.
type backendState struct {
	// plain is true for a plain service, which has no report and is always considered up.
	plain bool

	mu   sync.Mutex
	info engine.Info
	// infoKnown is true once a poll has succeeded; info is then that of the last successful one.
	infoKnown bool
	// failures is the weighted number of failed polls since then.
	failures int
}

func (b *backendState) up() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.plain || b.infoKnown && b.failures < maxPollFailures
}

func (b *backendState) engineInfo() engine.Info {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.info
}

// update records the result of a poll and reports whether the engine restarted since the poll before. A failed poll counts as
// failureWeight failures.
func (b *backendState) update(info engine.Info, err error, failureWeight int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if err != nil {
		b.failures += failureWeight
		return false
	}

	restarted := b.infoKnown && info.Boot != b.info.Boot
	b.info = info
	b.infoKnown = true
	b.failures = 0

	return restarted
}

// monitor polls the engine until the context ends.
func (s *Server) monitor(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()

	for {
		s.poll(ctx, 1)

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollNow polls the engine when a stream broke, before the request releases its concurrency slot. A restart is thus known
// before the slot is assigned to the next request, and an engine that does not respond is considered down at once.
func (s *Server) pollNow(ctx context.Context) {
	s.poll(ctx, maxPollFailures)
}

// poll polls the engine once, unless another poll started since the call. A failure counts as failureWeight failures.
func (s *Server) poll(ctx context.Context, failureWeight int) {
	requestedAt := time.Now()

	s.pollMu.Lock()
	defer s.pollMu.Unlock()

	if s.lastPoll.After(requestedAt) {
		return
	}

	s.lastPoll = time.Now()

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pollTimeout)
	defer cancel()

	wasUp := s.backend.up()
	info, report, err := s.readEngine(ctx)
	restarted := s.backend.update(info, err, failureWeight)

	if up := s.backend.up(); up != wasUp {
		s.log().WithField("up", up).WithError(err).Info("engine state changed")
		s.setReady("engine", up)
	}

	if err != nil {
		return
	}

	if restarted {
		s.log().Warn("engine restarted without adapters")
	}

	s.scheduler.applyReport(time.Now(), engineState{info: info, report: report, limits: s.limits(), restarted: restarted})
}

// engineState is the result of one poll of the engine.
type engineState struct {
	info   engine.Info
	report engine.Report
	limits schedulerLimits
	// restarted is true if the boot id has changed since the poll before; no adapter is resident then.
	restarted bool
}

// readEngine returns the engine's info and its report without the requests of this process.
func (s *Server) readEngine(ctx context.Context) (engine.Info, engine.Report, error) {
	info, err := s.Engine.Info(ctx)
	if err != nil {
		return info, engine.Report{}, fault.FromError(err)
	}

	report, err := s.Engine.Report(ctx)
	if err != nil {
		return info, report, fault.FromError(err)
	}

	report.Running = slices.DeleteFunc(report.Running, func(running engine.RunningRequest) bool {
		return s.generations.isOwn(running.ID)
	})

	return info, report, nil
}
