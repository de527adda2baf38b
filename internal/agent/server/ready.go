package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/probe"
)

// awaitCanceledWork waits until the canceled work has ended, for canceledWorkTimeout at most, because some calls cannot be
// canceled.
func (s *Server) awaitCanceledWork() {
	done := make(chan struct{})

	go func() {
		s.workGroup.Wait()
		close(done)
	}()

	timer := time.NewTimer(canceledWorkTimeout)
	defer timer.Stop()

	select {
	case <-done:
	case <-timer.C:
	}
}

// awaitDocument sets the readiness condition of the document once the board has one.
func (s *Server) awaitDocument(ctx context.Context) {
	for {
		changed := s.Board.Document.Changed()

		if s.Board.Document.Value() != nil {
			s.setReady(documentCondition, true)
			return
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// logWaiting logs the unmet readiness conditions until the process is ready for the first time.
func (s *Server) logWaiting(ctx context.Context) {
	ticker := time.NewTicker(waitLogInterval)
	defer ticker.Stop()

	log := s.log()

	for {
		waiting := s.readiness.Pending()
		if len(waiting) == 0 {
			log.Info("ready")
			return
		}

		log.Infof("not ready: waiting for %s", strings.Join(waiting, ", "))

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// serveProbe serves the probe endpoints until the context ends.
func (s *Server) serveProbe(ctx context.Context) {
	router := echo.New()
	probe.Register(router, &s.readiness)

	server := &http.Server{Handler: router, ReadHeaderTimeout: time.Second}

	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeShutdownTimeout)
		defer cancel()

		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()

	if err := server.Serve(s.Probe); !errors.Is(err, http.ErrServerClosed) {
		logrus.WithField("component", component).WithError(err).Error("probe server failed")
	}
}

// setReady records whether a readiness condition is met.
func (s *Server) setReady(what string, ready bool) {
	if ready {
		s.readiness.Satisfy(what)
		return
	}

	s.readiness.Require(what)
}
