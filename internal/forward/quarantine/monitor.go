package quarantine

import (
	"slices"
	"time"
)

const (
	// blameWindow is how long before the end of a server is noticed a response may have broken off to be attributed to it.
	blameWindow = time.Second
	// maxCrashes is the number of crashes that a Monitor keeps, and crashRetention how long it keeps them.
	maxCrashes     = 16
	crashRetention = 10 * time.Minute
	// maxSuspects is the number of suspects of one crash.
	maxSuspects = 16
)

// Monitor recognizes, beside one model server, which requests may have caused its ends. The zero value is ready to use.
type Monitor struct {
	// broken holds the responses that broke off at their start and are not attributed to an end of the server yet, oldest first.
	broken []brokenResponse
	// crashes holds the latest crashes, oldest first.
	crashes []Crash
	// sound holds the parts of crashes on which responses are known to have begun.
	sound map[string]bool
	// version changes with crashes and sound.
	version int
}

type brokenResponse struct {
	at      time.Time
	suspect Suspect
}

// Evidence is what a Monitor knows of the ends of its server.
type Evidence struct {
	Crashes []Crash
	// Sound lists the parts of the crashes on which responses are known to have begun.
	Sound []string
}

// Suspects returns the parts of the crashes that are not known to be sound, each once.
func (e *Evidence) Suspects() []string {
	var ids []string

	for _, crash := range e.Crashes {
		for _, id := range crash.parts() {
			if !slices.Contains(e.Sound, id) && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}

	return ids
}

// RecordBroken records that a response broke off after its head and before its first event.
func (m *Monitor) RecordBroken(now time.Time, suspect Suspect) {
	m.broken = slices.DeleteFunc(m.broken, func(b brokenResponse) bool { return now.Sub(b.at) > blameWindow })

	if len(suspect.Parts) > 0 && len(m.broken) < maxSuspects {
		m.broken = append(m.broken, brokenResponse{at: now, suspect: suspect})
	}
}

// RecordEnd records that the server is known to have ended, and returns the crash, with the given id, if requests may have caused
// it. It may be called again for the same end.
func (m *Monitor) RecordEnd(now time.Time, id string) (Crash, bool) {
	crash := Crash{ID: id}

	for _, response := range m.broken {
		if now.Sub(response.at) <= blameWindow {
			crash.At = response.at
			crash.Suspects = append(crash.Suspects, response.suspect)
		}
	}

	m.broken = nil

	if len(crash.Suspects) == 0 {
		return Crash{}, false
	}

	m.crashes = append(m.crashes, crash)
	m.crashes = m.crashes[max(len(m.crashes)-maxCrashes, 0):]
	m.dropOld(now)
	m.version++

	return crash, true
}

// RecordSound records that responses have begun on requests with the parts, and reports whether this is news about a crash.
func (m *Monitor) RecordSound(parts []string) bool {
	if len(m.crashes) == 0 {
		return false
	}

	changed := false

	for _, id := range parts {
		if !m.sound[id] && m.suspected(id) {
			if m.sound == nil {
				m.sound = map[string]bool{}
			}

			m.sound[id] = true
			changed = true
		}
	}

	if changed {
		m.version++
	}

	return changed
}

// Version returns a number that changes whenever the evidence does.
func (m *Monitor) Version() int {
	return m.version
}

// Evidence returns what is known of the ends of the server.
func (m *Monitor) Evidence(now time.Time) Evidence {
	m.dropOld(now)

	evidence := Evidence{Crashes: slices.Clone(m.crashes)}

	for id := range m.sound {
		evidence.Sound = append(evidence.Sound, id)
	}

	slices.Sort(evidence.Sound)

	return evidence
}

// suspected reports whether the part is one of a crash.
func (m *Monitor) suspected(id string) bool {
	return slices.ContainsFunc(m.crashes, func(c Crash) bool { return slices.Contains(c.parts(), id) })
}

// dropOld drops crashes that are older than crashRetention, and what is known of the parts of dropped crashes.
func (m *Monitor) dropOld(now time.Time) {
	m.crashes = slices.DeleteFunc(m.crashes, func(c Crash) bool { return now.Sub(c.At) > crashRetention })

	for id := range m.sound {
		if !m.suspected(id) {
			delete(m.sound, id)
		}
	}
}
