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

// settle waits until the canceled work has ended, but not for calls that cannot be canceled.
func (s *Server) settle() {
	ended := make(chan struct{})

	go func() {
		s.group.Wait()
		close(ended)
	}()

	timer := time.NewTimer(settleTimeout)
	defer timer.Stop()

	select {
	case <-ended:
	case <-timer.C:
	}
}

// awaitDocument makes the process ready once it has a document.
func (s *Server) awaitDocument(ctx context.Context) {
	for {
		changed := s.Board.Document.Changed()

		if s.Board.Document.Value() != nil {
			s.setReady(waitDocument, true)
			return
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// logWaiting logs what the process waits for until it is ready for the first time.
func (s *Server) logWaiting(ctx context.Context) {
	ticker := time.NewTicker(waitLog)
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

func (s *Server) serveProbe(ctx context.Context) {
	router := echo.New()
	probe.Register(router, &s.readiness)

	server := &http.Server{Handler: router, ReadHeaderTimeout: time.Second}

	stop := context.AfterFunc(ctx, func() {
		ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeShutdown)
		defer cancel()

		_ = server.Shutdown(ending)
	})
	defer stop()

	if err := server.Serve(s.Probe); !errors.Is(err, http.ErrServerClosed) {
		logrus.WithField("component", component).WithError(err).Error("probe server ended")
	}
}

func (s *Server) setReady(what string, ready bool) {
	if ready {
		s.readiness.Satisfy(what)
		return
	}

	s.readiness.Require(what)
}
