package refuse

import "time"

const (
	// Clients leave a stream that is silent for the longest of abandonTime, abandonObjectives times its objective, and
	// abandonPauses times the longest pause that is on time.
	abandonTime       = 2 * time.Second
	abandonObjectives = 4
	abandonPauses     = 8
	// readingTime is kept for reading the prompt, so that the first event comes before the client leaves.
	readingTime = 400 * time.Millisecond
	// plainShare is the part of the remaining time of a plain request that may pass in waiting.
	plainShare = 0.4
)

// StreamPatience returns how long a request for a stream may wait for its turn. The client has heard nothing for the silent
// time and stops waiting after left.
func MaxStreamWait(objective, pause, silent, left time.Duration) time.Duration {
	abandoned := max(abandonTime, abandonObjectives*objective, abandonPauses*pause)

	return max(min(abandoned-silent, left)-readingTime, 0)
}

// PlainPatience returns how long a plain request may wait whose client stops waiting after left.
func MaxPlainWait(left time.Duration) time.Duration {
	return time.Duration(plainShare * float64(left))
}
