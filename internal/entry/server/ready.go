package server

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// waitLogInterval is the time between two log lines that name what the process is waiting for.
	waitLogInterval = 5 * time.Second

	waitDocument = "configuration"
	waitMembers  = "VM list"
	waitShares   = "token shares"
)

// awaitReady updates the readiness and logs what the process is waiting for, until it is ready.
func (s *Server) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(waitLogInterval)
	defer ticker.Stop()

	log := logrus.WithField("component", "server")
	last := ""

	for {
		documents, listed, shares := s.Board.Document.Changed(), s.members.View.Changed(), s.Board.Shares.Changed()

		waiting := s.updateReadiness()
		if len(waiting) == 0 {
			log.Info("ready")
			return
		}

		if names := strings.Join(waiting, ", "); names != last {
			log.Infof("not ready: waiting for %s", names)
			last = names
		}

		select {
		case <-ctx.Done():
			return
		case <-documents:
		case <-listed:
		case <-shares:
		case <-ticker.C:
			last = ""
		}
	}
}

// updateReadiness marks what is present as done and returns the names of what is still missing.
func (s *Server) updateReadiness() []string {
	if s.Board.Document.Value() != nil {
		s.readiness.Satisfy(waitDocument)
	}

	if s.members.View.Value() != nil {
		s.readiness.Satisfy(waitMembers)
	}

	if _, version := s.Board.Shares.Get(); version > 0 {
		s.readiness.Satisfy(waitShares)
	}

	return s.readiness.Pending()
}
