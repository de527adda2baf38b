package engine

import "time"

// BeginColdStart begins a cold start of the given length; if hidden, reports do not show it.
func (s *Server) BeginColdStart(length time.Duration, hidden bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.coldUntil = time.Now().Add(length)
	s.coldHidden = hidden
	s.recordReport()
}

func (s *Server) isCold() bool {
	return time.Now().Before(s.coldUntil)
}

// recordColdRequests updates the highest number of outstanding requests of a cold engine.
func (s *Server) recordColdRequests() {
	if s.isCold() {
		s.record.MaxColdRequests = max(s.record.MaxColdRequests, int64(s.outstanding()))
	}
}
