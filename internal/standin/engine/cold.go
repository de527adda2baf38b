package engine

import "time"

// TurnCold begins a cold start of the given length; a quiet one is not reported.
func (m *Model) TurnCold(length time.Duration, quiet bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.coldUntil = time.Now().Add(length)
	m.quiet = quiet
	m.note()
}

func (m *Model) cold() bool {
	return time.Now().Before(m.coldUntil)
}

// observeCold records how many requests a cold engine was given.
func (m *Model) observeCold() {
	if m.cold() {
		m.record.ColdHighest = max(m.record.ColdHighest, int64(m.outstanding()))
	}
}
