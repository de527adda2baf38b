package quarantine

import "time"

// Hold is the quarantine of one subject.
type Hold struct {
	// Subject is what is held.
	Subject string
	// Since is when it began, and Until is when one request may be tried; each trial postpones the next by Period.
	Since, Until time.Time
	Period       time.Duration
}
