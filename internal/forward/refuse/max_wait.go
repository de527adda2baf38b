package refuse

import "time"

const (
	// Clients close a stream on which nothing arrives for the longest of abandonTime, abandonObjectives times its latency
	// objective, and abandonGaps times the longest gap between events that is on time.
	abandonTime       = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8
	// prefillReserve is the time left for prefill, so that the first event arrives before the client gives up.
	prefillReserve = 400 * time.Millisecond
	// plainWaitShare is the fraction of the remaining time that a plain request may wait.
	plainWaitShare = 0.4
)

// MaxStreamWait returns how long a streaming request may wait to be started. The client has received nothing for the silent
// time, and its deadline passes after left.
func MaxStreamWait(objective, gap, silent, left time.Duration) time.Duration {
	abandoned := max(abandonTime, abandonObjectives*objective, abandonGaps*gap)

	return max(min(abandoned-silent, left)-prefillReserve, 0)
}

// MaxRetry returns the longest useful retry delay if the deadline of the client passes after left: afterwards, no prompt can be prefilled in time. It
// is 0 if there is none.
func MaxRetry(left time.Duration) time.Duration {
	return max(left-prefillReserve, 0)
}

// MaxPlainWait returns how long a plain request may wait to be started if the deadline of its client passes after left.
func MaxPlainWait(left time.Duration) time.Duration {
	return time.Duration(plainWaitShare * float64(left))
}
