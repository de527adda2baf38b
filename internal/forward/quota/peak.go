package quota

import "time"

// peakRetention is how long a peak remembers a value at least. Entries that are cut off from the holder are set aside for this
// long.
const peakRetention = 30 * time.Second

// peak is the largest of the values that were recorded within peakRetention; values of up to twice that age may still count.
type peak struct {
	current, previous int
	windowStart       time.Time
}

// record adds a value and returns the peak.
func (p *peak) record(now time.Time, value int) int {
	switch age := now.Sub(p.windowStart); {
	case age > 2*peakRetention:
		p.current, p.previous, p.windowStart = 0, 0, now
	case age > peakRetention:
		p.current, p.previous, p.windowStart = 0, p.current, now
	}

	p.current = max(p.current, value)

	return max(p.current, p.previous)
}
