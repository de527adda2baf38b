package fleet

import "time"

// Evacuation is the time during which the servers of a failure domain get no requests.
type Evacuation struct {
	From time.Time
	// Until is zero if the end is not known.
	Until time.Time
}

// Active reports whether the evacuation has begun and not ended.
func (e Evacuation) Active(now time.Time) bool {
	return !now.Before(e.From) && !e.ended(now)
}

func (e Evacuation) ended(now time.Time) bool {
	return !e.Until.IsZero() && !now.Before(e.Until)
}
