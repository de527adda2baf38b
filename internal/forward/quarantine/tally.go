package quarantine

import "time"

// tally counts the crashes that speak against one subject, oldest first.
type tally struct {
	// repeats is true if the subject is sent again and again, as a request or an adapter is.
	repeats bool
	crashes int
	// last is when the crash counted last happened.
	last time.Time
	// requests holds the ids of all suspects, and servers the servers whose ends were counted.
	requests, servers map[string]bool
}

// add counts a crash under a suspect, unless it may have the cause of the one counted before: many servers end at once when a failure
// domain loses power. What was sent to a server only after the end of the one before has not ended both at once.
func (c *tally) add(crash *Crash, suspect Suspect) {
	if c.requests == nil {
		c.requests, c.servers = map[string]bool{}, map[string]bool{}
	}

	c.requests[suspect.Request] = true

	apart := c.crashes == 0 || crash.At.Sub(c.last) >= mergeWindow || c.repeats && suspect.SentAt.After(c.last)
	if !apart || c.servers[crash.key()] {
		return
	}

	c.crashes++
	c.last = crash.At
	c.servers[crash.key()] = true
}
