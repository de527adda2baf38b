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
	waitShares   = "token shares"
)

// awaitReady marks what the process waits for as present, and logs it until everything is.
func (s *Server) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(waitLog)
	defer ticker.Stop()

	log := logrus.WithField("component", "server")
	last := ""

	for {
		documents, listed, shares := s.Board.Document.Changed(), s.members.View.Changed(), s.Board.Shares.Changed()

		waiting := s.see()
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

func (s *Server) see() []string {
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
