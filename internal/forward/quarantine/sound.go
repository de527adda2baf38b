package quarantine

import "time"

// Sound states that a server has run a request, with its prompt parts, to its end, or that an adapter was loaded.
type Sound struct {
	Subject string
	// At is when that last happened, as far as is known.
	At time.Time
}

// maxSoundSubjects is the number of subjects of one generation of a soundSubjects.
const maxSoundSubjects = 8192

// soundSubjects remembers when each subject was last known to be sound. It forgets subjects that were not seen for a while once
// there are many: when the current generation is full, it becomes the previous one, which is dropped. The zero value is ready to use.
type soundSubjects struct {
	current, previous map[string]time.Time
}

// set records that a subject was sound, which may be earlier than other times.
func (s *soundSubjects) set(id string, at time.Time) {
	if last, ok := s.last(id); ok && at.Before(last) {
		at = last
	}

	if s.current == nil {
		s.current = map[string]time.Time{}
	}

	if _, ok := s.current[id]; !ok && len(s.current) >= maxSoundSubjects {
		s.current, s.previous = map[string]time.Time{}, s.current
	}

	s.current[id] = at
}

// last returns when a subject was last known to be sound; false if that is not remembered.
func (s *soundSubjects) last(id string) (time.Time, bool) {
	if at, ok := s.current[id]; ok {
		return at, true
	}

	at, ok := s.previous[id]

	return at, ok
}
