// Package peak holds the largest of the latest values of a quantity.
package peak

import "time"

// Peak is the largest of the values that were recorded within Retention; values of up to twice that age may still count. Its exported field
// is set before use.
type Peak struct {
	Retention time.Duration

	current, previous int
	windowStart       time.Time
}

// Record adds a value and returns the peak.
func (p *Peak) Record(now time.Time, value int) int {
	p.forget(now)
	p.current = max(p.current, value)

	return p.Get(now)
}

// Get returns the peak; 0 if no value is remembered.
func (p *Peak) Get(now time.Time) int {
	p.forget(now)

	return max(p.current, p.previous)
}

// forget drops the values that are too old.
func (p *Peak) forget(now time.Time) {
	switch age := now.Sub(p.windowStart); {
	case age > 2*p.Retention:
		p.current, p.previous, p.windowStart = 0, 0, now
	case age > p.Retention:
		p.current, p.previous, p.windowStart = 0, p.current, now
	}
}
