package server

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// waitLog is the time between two log lines that say what the process waits for.
	waitLog = 5 * time.Second

	waitDocument = "configuration"
	waitMembers  = "VM list"
)

// awaitReady marks what the process waits for as present, and logs it until everything is.
func (s *Server) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(waitLog)
	defer ticker.Stop()

	log := logrus.WithField("component", "server")

	for {
		documents, listed := s.Board.Document.Changed(), s.members.View.Changed()

		waiting := s.see()
		if len(waiting) == 0 {
			log.Info("ready")
			return
		}

		select {
		case <-ctx.Done():
			return
		case <-documents:
		case <-listed:
		case <-ticker.C:
			log.Infof("not ready: waiting for %s", strings.Join(waiting, ", "))
		}
	}
}

func (s *Server) see() []string {
	if s.Board.Document.Value() != nil {
		s.readiness.Done(waitDocument)
	}

	if s.members.View.Value() != nil {
		s.readiness.Done(waitMembers)
	}

	return s.readiness.Waiting()
}
