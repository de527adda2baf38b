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
	// pollInterval is the time between two reads of the engine's report.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one read.
	pollTimeout = time.Second
	// pollFailures is the number of failed reads in a row after which the engine counts as down.
	pollFailures = 2
)

// backend is what is known of the backend server.
type backend struct {
	// plain says that it is a plain service, which has no report; it always counts as up.
	plain bool

	mu       sync.Mutex
	info     engine.Info
	known    bool
	failures int
}

func (b *backend) up() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.plain || b.known && b.failures < pollFailures
}

func (b *backend) current() engine.Info {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.info
}

// update takes the result of a read, with what a failure counts, and reports whether the engine restarted since the one before.
func (b *backend) update(info engine.Info, err error, weight int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if err != nil {
		b.failures += weight
		return false
	}

	restarted := b.known && info.Boot != b.info.Boot
	b.info = info
	b.known = true
	b.failures = 0

	return restarted
}

// monitor reads the engine's state until the context ends.
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

// pollNow reads the engine's state for a request whose stream broke, before it gives up its place. So a restart is known
// before the place is given to the next request, and an engine that does not answer now counts as down at once.
func (s *Server) pollNow(ctx context.Context) {
	s.poll(ctx, pollFailures)
}

// poll reads the engine's state once, unless another read began meanwhile. Weight is what a failure counts.
func (s *Server) poll(ctx context.Context, weight int) {
	wanted := time.Now()

	s.polling.Lock()
	defer s.polling.Unlock()

	if s.polled.After(wanted) {
		return
	}

	s.polled = time.Now()

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pollTimeout)
	defer cancel()

	was := s.backend.up()
	info, report, err := s.read(ctx)
	restarted := s.backend.update(info, err, weight)

	if up := s.backend.up(); up != was {
		s.log().WithField("up", up).WithError(err).Info("engine state changed")
		s.setReady("engine", up)
	}

	if err != nil {
		return
	}

	if restarted {
		s.log().Warn("engine restarted empty")
	}

	s.gate.report(time.Now(), state{info: info, report: report, limits: s.limits(), restarted: restarted})
}

// state is one reading of the engine.
type state struct {
	info   engine.Info
	report engine.Report
	limits limits
	// restarted says that the engine runs under a new boot id, with no adapter resident.
	restarted bool
}

func (s *Server) read(ctx context.Context) (engine.Info, engine.Report, error) {
	info, err := s.Engine.Info(ctx)
	if err != nil {
		return info, engine.Report{}, fault.FromError(err)
	}

	report, err := s.Engine.Report(ctx)
	if err != nil {
		return info, report, fault.FromError(err)
	}

	report.Running = slices.DeleteFunc(report.Running, func(running engine.RunningRequest) bool {
		return s.runs.own(running.ID)
	})

	return info, report, nil
}
