package quarantine

import "time"

// Tracker decides, in one entry, which subjects are held. Its exported fields are set before use.
type Tracker struct {
	// Random returns a number from 0 to 1, by which holds are prolonged.
	Random func() float64

	// crashes holds the evidence by the id of the crash, and naming by each subject of its suspects.
	crashes map[string]*trackedCrash
	naming  map[string][]*trackedCrash
	// blamed holds when a crash last raised suspicion of a subject.
	blamed map[string]time.Time
	// sound remembers sound parts, and runs requests and adapters, of which there are many more.
	sound, runs soundSubjects
	// holds is keyed by subject, and version changes when one begins or is prolonged.
	holds   map[string]Hold
	version int
}

// RecordCrash adds evidence and returns the subjects that it puts into quarantine. A crash that is known already changes nothing.
func (t *Tracker) RecordCrash(now time.Time, crash Crash) []string {
	if _, known := t.crashes[crash.ID]; known || now.Sub(crash.At) > crashRetention {
		return nil
	}

	if t.crashes == nil {
		t.crashes = map[string]*trackedCrash{}
	}

	t.dropOld(now)

	tracked := &trackedCrash{Crash: crash, all: crash.subjects()}
	t.crashes[crash.ID] = tracked
	t.blame(tracked)

	t.prolong(now, tracked)

	return t.holdReached(now, tracked)
}

// RecordSound records that the subjects are sound: that a server has run a request with them to its end, or has loaded the adapter. A
// response that has begun shows nothing of the parts, which may end a server at any point of it. It returns those that it releases.
func (t *Tracker) RecordSound(now time.Time, subjects []string) []string {
	var released []string

	for _, id := range subjects {
		if t.recordSound(Sound{Subject: id, At: now}) {
			released = append(released, id)
		}
	}

	return released
}

// LearnSound records what another process knows of sound subjects, and returns those that it releases.
func (t *Tracker) LearnSound(learned []Sound) []string {
	var released []string

	for _, sound := range learned {
		if t.recordSound(sound) {
			released = append(released, sound.Subject)
		}
	}

	return released
}

// recordSound records that a subject is sound and reports whether it releases it. If that was before it was held, it is released if the
// crashes since do not suffice to hold it.
func (t *Tracker) recordSound(sound Sound) bool {
	t.memory(sound.Subject).set(sound.Subject, sound.At)

	hold, held := t.holds[sound.Subject]
	if !held {
		return false
	}

	delete(t.holds, sound.Subject)

	if sound.At.Before(hold.Since) && t.count(sound.Subject) >= t.limit(sound.Subject) {
		t.holds[sound.Subject] = hold
		return false
	}

	return true
}

// memory returns what is known of sound subjects of the kind of the given one.
func (t *Tracker) memory(id string) *soundSubjects {
	if KindOf(id) == Part {
		return &t.sound
	}

	return &t.runs
}

// lastSound returns when a subject was last known to be sound; false if it was not.
func (t *Tracker) lastSound(id string) (time.Time, bool) {
	return t.memory(id).last(id)
}

// HasEvidence reports whether any crash or hold is known.
func (t *Tracker) HasEvidence() bool {
	return len(t.crashes)+len(t.holds) > 0
}

// KnownSound returns what is known of sound ones among the subjects.
func (t *Tracker) KnownSound(subjects []string) []Sound {
	var known []Sound

	for _, id := range subjects {
		if at, ok := t.lastSound(id); ok {
			known = append(known, Sound{Subject: id, At: at})
		}
	}

	return known
}

// SoundNews returns what is known of sound ones among the subjects and is news to an agent, which was told what is in told, and adds it
// there. Only the first time since a crash is news.
func (t *Tracker) SoundNews(subjects []string, told map[string]time.Time) []Sound {
	var news []Sound

	for _, sound := range t.KnownSound(subjects) {
		last, known := told[sound.Subject]
		blamed := t.blamed[sound.Subject]

		if !known || last.Before(blamed) && !sound.At.Before(blamed) {
			told[sound.Subject] = sound.At
			news = append(news, sound)
		}
	}

	return news
}

// Held returns the number of subjects in quarantine.
func (t *Tracker) Held() int {
	return len(t.holds)
}
