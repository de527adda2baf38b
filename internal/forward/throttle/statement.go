package throttle

import "time"

// Statement is what one response of a server states about its limit.
type Statement struct {
	// Server is the id of the server, and StartedAt the start of its process in Unix milliseconds.
	Server    string
	StartedAt int64
	Limit     Limit
	// At is when the request was sent to which the server responded.
	At time.Time
}

// Supersedes reports whether the statement holds instead of a known one. Responses cross: one that began before its server was in
// need may arrive after one that names the limit, so that of one process the response to the request sent last counts. A restart of
// the server ends what it stated before.
func (s Statement) Supersedes(known Statement) bool {
	switch {
	case s.Limit.Invalid:
		return false
	case s.StartedAt != known.StartedAt:
		return s.StartedAt > known.StartedAt
	default:
		return s.At.After(known.At)
	}
}
