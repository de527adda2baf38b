package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// blameWindow is how long before the end of a server is noticed a response may have broken off to be attributed to it.
	blameWindow = time.Second
	// endTime is the time in which all responses of a server that has ended break off.
	endTime = 50 * time.Millisecond
	// loadBlameWindow is how long before the end of a server the order to load an adapter may have been sent that is attributed to it.
	loadBlameWindow = 10 * time.Second
	// maxCrashes is the number of crashes that a Monitor keeps, and crashRetention how long it keeps them.
	maxCrashes     = 16
	crashRetention = 10 * time.Minute
	// maxSuspects is the number of suspects of one crash: the requests that a model server runs at the same time.
	maxSuspects = 64
)

// Monitor recognizes, beside one model server, which requests may have caused its ends, and keeps what entries know, also of servers of
// plain services, for those that start later. The zero value is ready to use.
type Monitor struct {
	// broken holds the responses that broke off and are not attributed to an end of the server yet, oldest first.
	broken []brokenResponse
	// loads holds when the orders to load the adapters were sent that the server is not known to hold yet, by their subjects.
	loads map[string]time.Time
	// crashes holds the latest crashes, oldest first.
	crashes []Crash
	// holds holds the parts that entries have in quarantine, for entries that start later, and those that were released since.
	holds map[string]Hold
	// sound holds the subjects of crashes and holds that are known to be sound.
	sound map[string]learnedSound
	// version changes with crashes and holds, and soundVersion with sound.
	version, soundVersion int
}

// learnedSound is what a Monitor knows of a sound subject.
type learnedSound struct {
	at time.Time
	// version is the soundVersion of the Monitor since which this is known.
	version int
}

type brokenResponse struct {
	at      time.Time
	suspect Suspect
}

// Evidence is what a Monitor knows of the ends of its server, and of the parts that entries hold.
type Evidence struct {
	Crashes []Crash
	Holds   []Hold
	// Sound lists the subjects of the crashes and holds that are known to be sound.
	Sound []Sound
}

// Suspects returns the parts of the crashes and holds, each once.
func (e *Evidence) Suspects() []string {
	var ids []string

	add := func(id string) {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}

	for _, hold := range e.Holds {
		add(hold.Subject)
	}

	for _, crash := range e.Crashes {
		for _, id := range crash.subjects() {
			add(id)
		}
	}

	return ids
}

// RecordBroken records that a response broke off, and forgets the oldest one if there are too many.
func (m *Monitor) RecordBroken(now time.Time, suspect Suspect) {
	m.broken = slices.DeleteFunc(m.broken, func(b brokenResponse) bool { return now.Sub(b.at) > blameWindow })

	if len(suspect.Subjects) > 0 {
		m.broken = append(m.broken, brokenResponse{at: now, suspect: suspect})
		m.broken = m.broken[max(len(m.broken)-maxSuspects, 0):]
	}
}

// UntilEndComplete returns how long to wait until all responses that the end of the server breaks off are recorded; 0 or less if they are.
func (m *Monitor) UntilEndComplete(now time.Time) time.Duration {
	if len(m.broken) == 0 {
		return 0
	}

	return endTime - now.Sub(m.broken[len(m.broken)-1].at)
}

// RecordLoad records that an order to load an adapter was sent and may be carried out.
func (m *Monitor) RecordLoad(sentAt time.Time, subject string) {
	if m.loads == nil {
		m.loads = map[string]time.Time{}
	}

	maps.DeleteFunc(m.loads, func(_ string, earlier time.Time) bool { return sentAt.Sub(earlier) > loadBlameWindow })
	m.loads[subject] = sentAt
}

// RecordLoaded records which adapters the server holds.
func (m *Monitor) RecordLoaded(held func(subject string) bool) {
	maps.DeleteFunc(m.loads, func(subject string, _ time.Time) bool { return held(subject) })
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

	for subject, sentAt := range m.loads {
		if now.Sub(sentAt) <= loadBlameWindow {
			crash.At = now
			crash.Suspects = append(crash.Suspects, Suspect{SentAt: sentAt, Subjects: []string{subject}})
		}
	}

	m.broken, m.loads = nil, nil

	if len(crash.Suspects) == 0 {
		return Crash{}, false
	}

	m.add(now, crash)

	return crash, true
}

// RecordCrash records the end of a server of a plain service, which an entry has recognized, and reports whether it is news.
func (m *Monitor) RecordCrash(now time.Time, crash Crash) bool {
	if len(crash.Suspects) == 0 || slices.ContainsFunc(m.crashes, func(known Crash) bool { return known.ID == crash.ID }) {
		return false
	}

	m.add(now, crash)

	return true
}

// add adds a crash, and drops the oldest one if there are too many.
func (m *Monitor) add(now time.Time, crash Crash) {
	m.crashes = append(m.crashes, crash)
	m.crashes = m.crashes[max(len(m.crashes)-maxCrashes, 0):]
	m.dropOld(now)
	m.version++
}

// RecordHolds records the holds of an entry and reports whether one of them is news. One that began before the subject was sound is not.
func (m *Monitor) RecordHolds(now time.Time, holds []Hold) bool {
	changed := false

	for _, hold := range holds {
		changed = m.recordHold(hold) || changed
	}

	if changed {
		m.dropOld(now)
		m.version++
	}

	return changed
}

// Check returns the reason why a request with the subjects that waits at the agent is not to be sent to the server; false if it may be sent. Only
// holds that began within settleTime are a reason: entries know of older ones, and admit a request nevertheless only as a trial.
func (m *Monitor) Check(now time.Time, subjects []string) (Refusal, bool) {
	for _, id := range subjects {
		if hold, ok := m.holds[id]; ok && m.refusesWaiting(now, &hold) {
			return Refusal{Subject: id, Left: max(hold.Until.Sub(now), 0)}, true
		}
	}

	return Refusal{}, false
}

// HasHolds reports whether any hold is known for which Check may refuse a request. Without one, no request needs a digest.
func (m *Monitor) HasHolds(now time.Time) bool {
	for _, hold := range m.holds {
		if m.refusesWaiting(now, &hold) {
			return true
		}
	}

	return false
}

// refusesWaiting reports whether a hold is one for which Check refuses requests.
func (m *Monitor) refusesWaiting(now time.Time, hold *Hold) bool {
	return now.Sub(hold.Since) <= settleTime && !m.released(hold)
}

// recordHold records one hold and reports whether it is news. A later trial is not: only entries that start later need it.
func (m *Monitor) recordHold(hold Hold) bool {
	known, ok := m.holds[hold.Subject]

	switch {
	case m.released(&hold), !ok && !m.makeRoom():
		return false
	case m.holds == nil:
		m.holds = map[string]Hold{}
	case ok && !m.released(&known) && !hold.Until.After(known.Until):
		return false
	}

	m.holds[hold.Subject] = hold

	return !ok || m.released(&known)
}

// makeRoom drops the released hold whose trial was due first if there are maxHolds, and reports whether there is room for one more.
func (m *Monitor) makeRoom() bool {
	if len(m.holds) < maxHolds {
		return true
	}

	first, found := Hold{}, false

	for _, hold := range m.holds {
		if m.released(&hold) && (!found || hold.Until.Before(first.Until)) {
			first, found = hold, true
		}
	}

	delete(m.holds, first.Subject)

	return found
}

// RecordSound records what an entry knows of beginnings, and reports whether it is news about a crash or a hold.
func (m *Monitor) RecordSound(learned []Sound) bool {
	changed := false

	for _, sound := range learned {
		blamedAt, blamed := m.blamedAt(sound.Subject)
		last, known := m.sound[sound.Subject]

		if !blamed || known && (sound.At.Before(blamedAt) || !last.at.Before(blamedAt)) {
			continue
		}

		if m.sound == nil {
			m.sound = map[string]learnedSound{}
		}

		if hold, held := m.holds[sound.Subject]; held && !m.released(&hold) && !sound.At.Before(hold.Since) {
			m.version++
		}

		m.soundVersion++
		m.sound[sound.Subject] = learnedSound{at: sound.At, version: m.soundVersion}
		changed = true
	}

	return changed
}

// Version returns a number that changes with the crashes and holds, also when a hold is released.
func (m *Monitor) Version() int {
	return m.version
}

// SoundVersion returns a number that rises with what is known of sound subjects.
func (m *Monitor) SoundVersion() int {
	return m.soundVersion
}

// SoundSince returns what has become known of sound subjects since a SoundVersion.
func (m *Monitor) SoundSince(version int) []Sound {
	var news []Sound

	for id, learned := range m.sound {
		if learned.version > version {
			news = append(news, Sound{Subject: id, At: learned.at})
		}
	}

	return news
}

// Evidence returns what is known of the ends of the server.
func (m *Monitor) Evidence(now time.Time) Evidence {
	m.dropOld(now)

	evidence := Evidence{Crashes: slices.Clone(m.crashes)}

	for _, hold := range m.holds {
		if !m.released(&hold) {
			evidence.Holds = append(evidence.Holds, hold)
		}
	}

	evidence.Sound = m.SoundSince(0)

	return evidence
}

// released reports whether the subject was sound since the begin of the hold.
func (m *Monitor) released(hold *Hold) bool {
	learned, known := m.sound[hold.Subject]

	return known && !learned.at.Before(hold.Since)
}

// blamedAt returns when a crash or a hold last raised suspicion of the part; false if none did.
func (m *Monitor) blamedAt(id string) (time.Time, bool) {
	hold, blamed := m.holds[id]
	last := hold.Since

	for _, crash := range m.crashes {
		if slices.Contains(crash.subjects(), id) {
			blamed = true

			if crash.At.After(last) {
				last = crash.At
			}
		}
	}

	return last, blamed
}

// dropOld drops crashes that are older than crashRetention, holds whose trial was due that long ago, and what is known of the parts of
// dropped crashes.
func (m *Monitor) dropOld(now time.Time) {
	m.crashes = slices.DeleteFunc(m.crashes, func(c Crash) bool { return now.Sub(c.At) > crashRetention })
	maps.DeleteFunc(m.holds, func(_ string, h Hold) bool { return now.Sub(h.Until) > crashRetention })

	for id := range m.sound {
		if _, blamed := m.blamedAt(id); !blamed {
			delete(m.sound, id)
		}
	}
}
