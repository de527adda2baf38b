package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crash is an end of a backend server that ran requests, or loaded adapters.
type Crash struct {
	// ID names the crash; a crash that is reported again has the same one.
	ID string
	// Server is the id of the server; empty if each end of it is reported once.
	Server string
	// At is when the responses broke off.
	At time.Time
	// Suspects lists these requests and orders; it is not empty.
	Suspects []Suspect
}

// Suspect is a request, or an order to load an adapter, that may have ended a server.
type Suspect struct {
	// Request is the id of the request, empty for an order, and SentAt is when it was sent to the server.
	Request string
	SentAt  time.Time
	// Subjects are the adapter, or the request itself and its shared prompt parts; it is not empty.
	Subjects []string
}

// key names the server that has ended.
func (c *Crash) key() string {
	return cmp.Or(c.Server, c.ID)
}

// find returns the suspect with a subject that was sent last; false if there is none.
func (c *Crash) find(subject string) (Suspect, bool) {
	var (
		last  Suspect
		found bool
	)

	for _, suspect := range c.Suspects {
		if slices.Contains(suspect.Subjects, subject) && (!found || suspect.SentAt.After(last.SentAt)) {
			last, found = suspect, true
		}
	}

	return last, found
}

// subjects returns all subjects of the suspects, each once.
func (c *Crash) subjects() []string {
	var ids []string

	seen := map[string]bool{}

	for _, suspect := range c.Suspects {
		for _, id := range suspect.Subjects {
			if !seen[id] {
				seen[id] = true
				ids = append(ids, id)
			}
		}
	}

	return ids
}
