package queue

import "slices"

// leastForget is the number of accounts below which none is forgotten.
const leastForget = 16

// class is one priority class with start-time fair queueing (Goyal, Vin and Cheng, 1996) between accounts: it serves
// the account whose next item has the smallest virtual start time. Items are charged at their declared cost when they are
// served, and corrected to the tokens they used when they end.
type class struct {
	priority int32
	// virtual is the virtual start time of the item served last; it never falls.
	virtual float64
	// backlog is the sum of the costs of eligible items, in tokens.
	backlog float64
	// flows holds the accounts with eligible items, those whose next start lies ahead of virtual, and some others whose
	// start no longer matters.
	flows map[string]*flow
	// active holds the flows with eligible items, in no order. Decisions look at each of them, which a map makes slow.
	active  []*flow
	blocked map[*Item]bool
	// periods counts the periods of all flows.
	periods int64
	// forgetAt is the number of flows from which on forget looks at them.
	forgetAt int
}

// flow is the queue of one account in one class.
type flow struct {
	items []*Item
	// start is the virtual start time of the first item.
	start float64
	// backlog is the sum of the costs of items, in tokens.
	backlog float64
	weight  float64
	// period is the time from the arrival of an item while none waits to the next such arrival.
	period int64
	// carried is by how much charges of earlier periods have moved the start of this one ahead of the virtual time; at
	// least 0.
	carried float64
	// at is the position in active; it counts only while there are items.
	at int
}

func (c *class) add(item *Item) {
	if item.Blocked {
		c.blocked[item] = true
		return
	}

	f := c.flows[item.Account]
	if f == nil {
		f = &flow{}
		c.flows[item.Account] = f
	}

	if len(f.items) == 0 {
		c.begin(f)
		f.at = len(c.active)
		c.active = append(c.active, f)
	}

	f.weight = item.Weight
	f.items = append(f.items, item)
	f.backlog += float64(item.Cost)
	c.backlog += float64(item.Cost)
}

// begin starts a period of a flow.
func (c *class) begin(f *flow) {
	c.periods++
	f.period = c.periods
	f.carried = max(0, f.start-c.virtual)
	f.start = max(f.start, c.virtual)
}

// credit takes back a part of the charge of an item that was served. The charge of an earlier period counts only as far as
// it has delayed the present one; with more, an account could save up credit while it has nothing waiting.
func (c *class) credit(item *Item, amount float64) {
	f := c.flows[item.Account]
	if f == nil {
		return
	}

	if f.period != item.period {
		amount = min(amount, f.carried)
		f.carried -= amount
	}

	f.start -= amount

	if len(f.items) == 0 {
		c.forget()
	}
}

func (c *class) pop() *Item {
	var first *flow

	for _, f := range c.active {
		if first == nil || f.before(first) {
			first = f
		}
	}

	if first == nil {
		return nil
	}

	item := first.items[0]
	first.items[0] = nil
	first.items = first.items[1:]

	c.virtual = max(c.virtual, first.start)
	item.period = first.period
	first.start += float64(item.Cost) / first.weight
	c.removed(first, item)

	return item
}

func (f *flow) before(other *flow) bool {
	if f.start != other.start {
		return f.start < other.start
	}

	return f.items[0].sequence < other.items[0].sequence
}

func (c *class) remove(item *Item) bool {
	if c.blocked[item] {
		delete(c.blocked, item)
		return true
	}

	f := c.flows[item.Account]
	if f == nil {
		return false
	}

	at := slices.Index(f.items, item)
	if at < 0 {
		return false
	}

	f.items = slices.Delete(f.items, at, at+1)
	c.removed(f, item)

	return true
}

func (c *class) removed(f *flow, item *Item) {
	f.backlog -= float64(item.Cost)
	c.backlog -= float64(item.Cost)

	if len(f.items) == 0 {
		c.deactivate(f)
		c.forget()
	}
}

func (c *class) deactivate(f *flow) {
	last := len(c.active) - 1
	c.active[f.at] = c.active[last]
	c.active[f.at].at = f.at
	c.active[last] = nil
	c.active = c.active[:last]
}

// forget drops the accounts without items whose next start is not ahead of the virtual time. It looks at all of them, so
// it waits until their number has doubled.
func (c *class) forget() {
	if len(c.flows) < c.forgetAt {
		return
	}

	for account, f := range c.flows {
		if len(f.items) == 0 && f.start <= c.virtual {
			delete(c.flows, account)
		}
	}

	c.forgetAt = max(leastForget, 2*len(c.flows))
}

func (c *class) newest() *Item {
	var last *Item

	for _, f := range c.active {
		if newest := f.items[len(f.items)-1]; last == nil || newest.sequence > last.sequence {
			last = newest
		}
	}

	for item := range c.blocked {
		if last == nil || item.sequence > last.sequence {
			last = item
		}
	}

	return last
}

// ahead returns the tokens that are served before a new item: those of its own account, and of each other account
// what fair queueing starts before the item's own start.
func (c *class) ahead(item *Item) float64 {
	start := c.virtual

	var total float64

	own := c.flows[item.Account]
	if own != nil {
		start = max(start, own.start) + own.backlog/item.Weight
		total = own.backlog
	}

	for _, f := range c.active {
		if f == own || f.start > start {
			continue
		}

		share := (start-f.start)*f.weight + float64(f.items[0].Cost)
		total += min(f.backlog, share)
	}

	return total
}
