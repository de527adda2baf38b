// Package triage decides under overload which requests are served, delayed or refused: it delays and refuses those for which this costs callers
// least, by their urgency, their deadlines and the work that they need. Its decisions use no network.
package triage

import "time"

// Work describes a request that competes for capacity.
type Work struct {
	// Urgency is the priority of the request; 0 is the highest.
	Urgency int
	// Due is the latest time at which it may start and still be on time, and Expires the latest one at which it may start at all.
	Due, Expires time.Time
	// Tokens is the number of prompt tokens, and Output the expected number of output tokens.
	Tokens, Output int64
	// Fetch is true if an adapter has to be loaded first.
	Fetch bool
	// Resumed is true if the request continues a stream of which its client has a part.
	Resumed bool
}
