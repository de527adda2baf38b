// Package notice tracks what a backend server states about itself in its responses: that it is about to leave, and for how long
// it wants no more requests. Either may precede the list of servers, which lags behind and may be out of reach.
package notice

import "time"

// maxRest bounds the time for which a server may ask to be left alone, so that an absurd value does not disable it.
const maxRest = time.Minute

// Notice is the part of a response in which a server states whether it takes requests.
type Notice struct {
	// Leaving is true if the server is about to leave.
	Leaving bool
	// Rest is how long the server wants no more requests; 0 if it does not say so.
	Rest time.Duration
}

// Record holds the notices of one server. It is not safe for concurrent use.
type Record struct {
	// leavingStart is the start time of the process that has announced that it leaves; it is set if leaving is true.
	leavingStart int64
	leaving      bool
	// restUntil is the time until which the server gets no requests.
	restUntil time.Time
}

// Observe records a notice of the server process with the given start time, in Unix milliseconds.
func (r *Record) Observe(now time.Time, startedAt int64, n Notice) {
	if n.Leaving {
		r.leaving, r.leavingStart = true, startedAt
	}

	if until := now.Add(min(n.Rest, maxRest)); n.Rest > 0 && until.After(r.restUntil) {
		r.restUntil = until
	}
}

// Leaving reports whether the server process with the given start time has announced that it leaves. Only a restart of the
// server ends this.
func (r *Record) Leaving(startedAt int64) bool {
	return r.leaving && r.leavingStart == startedAt
}

// Until returns the time until which the server gets no requests; it may be in the past.
func (r *Record) Until() time.Time {
	return r.restUntil
}

// RestLeft returns how long the server still wants no requests; 0 or less if it takes them.
func (r *Record) RestLeft(now time.Time) time.Duration {
	return r.restUntil.Sub(now)
}
