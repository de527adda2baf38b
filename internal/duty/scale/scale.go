// Package scale decides how many servers a service is to have in a failure domain. It makes no calls.
package scale

import (
	"math"
	"time"
)

// targetLoad is the part of the slots of all servers that requests are to take at most. The rest serves demand that comes while servers start.
const targetLoad = 0.7

// settleTime is the time after the first look at a subject before its first decision: the servers that run already are listed by then.
const settleTime = 3 * time.Second

// Bounds are those of the servers of a service in each failure domain.
type Bounds struct {
	Min, Max int
	// Boot is the time from an order until the new server serves.
	Boot time.Duration
}

// Subject is a service in a failure domain.
type Subject struct {
	Service, Domain string
}

// Load is what the servers of a subject do now.
type Load struct {
	Subject Subject
	Bounds  Bounds
	// Servers is the number of servers that take requests, and Slots the number of requests that one of them runs at once.
	Servers, Slots int
	// Running is the number of requests that they run, and Waiting that of requests that wait for them.
	Running, Waiting float64
	// Known is true if the load of all servers is known.
	Known bool
}

// Decision is the number of servers of one subject, over time.
type Decision struct {
	// ordered is the number that was ordered last. If none was, it is the highest number that was listed since firstLook.
	ordered   int
	adopted   bool
	looked    bool
	firstLook time.Duration
	// lowSince is when fewer servers began to suffice without a break, and needed the highest number that was needed since; low is true then.
	low      bool
	lowSince time.Duration
	needed   int
}

// Adopt records the number of servers that was ordered last.
func (d *Decision) Adopt(ordered int) {
	d.ordered, d.adopted = ordered, true
}

// Decide returns the number of servers that the subject is to have, and whether that is another one than was ordered last. More servers are
// wanted at once, and fewer only once they have sufficed for longer than a server takes to start.
func (d *Decision) Decide(now time.Duration, load Load) (wanted int, changed bool) {
	if !load.Known || load.Slots <= 0 {
		d.low = false
		return d.ordered, false
	}

	if !d.settle(now, load) {
		return d.ordered, false
	}

	needed := load.needed()

	switch {
	case needed > d.ordered:
		d.low = false
		return needed, true
	case d.ordered > load.Bounds.Max:
		return load.Bounds.Max, true
	case needed == d.ordered:
		d.low = false
		return d.ordered, false
	}

	if !d.low {
		d.low, d.lowSince, d.needed = true, now, needed
	}

	d.needed = max(d.needed, needed)

	if now-d.lowSince <= load.Bounds.Boot {
		return d.ordered, false
	}

	return d.needed, true
}

// settle reports whether the number of servers is known that were there before an order.
func (d *Decision) settle(now time.Duration, load Load) bool {
	if d.adopted {
		return true
	}

	if !d.looked {
		d.firstLook, d.looked = now, true
	}

	d.ordered = max(d.ordered, load.Servers)

	return now-d.firstLook >= settleTime
}

// Done records that the number of servers was ordered.
func (d *Decision) Done(ordered int) {
	d.ordered, d.adopted, d.low = ordered, true, false
}

// needed returns the number of servers at which requests take targetLoad of the slots, within the bounds.
func (l Load) needed() int {
	demand := l.Running + l.Waiting
	servers := int(math.Ceil(demand / (targetLoad * float64(l.Slots))))

	return min(max(servers, l.Bounds.Min), max(l.Bounds.Max, l.Bounds.Min))
}
