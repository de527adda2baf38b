// Package throttle keeps the requests to a backend server within the limit that the server names in its responses while it is in
// need: a number of requests a second, from all senders together.
package throttle

import "fmt"

// Limit is what a response states about the number of requests that its server takes.
type Limit struct {
	// Named is true if the response names a limit of Rate requests a second, which is finite and not negative.
	Named bool
	Rate  float64
	// Invalid is true if the response names a limit that is not such a number. It then states nothing.
	Invalid bool
}

// String implements fmt.Stringer.
func (l Limit) String() string {
	switch {
	case l.Invalid:
		return "invalid"
	case l.Named:
		return fmt.Sprintf("%g", l.Rate)
	default:
		return "none"
	}
}
