package engine

import "time"

// BeginColdStart begins a cold start of the given length; a quiet one is not reported.
func (m *Server) BeginColdStart(length time.Duration, quiet bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.coldUntil = time.Now().Add(length)
	m.quiet = quiet
	m.note()
}

func (m *Server) cold() bool {
	return time.Now().Before(m.coldUntil)
}

// observeCold records how many requests a cold engine was given.
func (m *Server) observeCold() {
	if m.cold() {
		m.record.MaxColdRequests = max(m.record.MaxColdRequests, int64(m.outstanding()))
	}
}
