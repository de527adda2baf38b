package queue

import "slices"

// minFlowsToPrune is the number of flows below which none is pruned.
const minFlowsToPrune = 16

// class is one priority class with start-time fair queueing (Goyal, Vin and Cheng, 1996) between accounts: it serves
// the account whose next item has the smallest virtual start time. Items are charged at their declared cost when they are
// served, and the charge is reduced to the tokens they used when they end.
type class struct {
	priority int32
	// virtualTime is the virtual start time of the item served last; it never decreases.
	virtualTime float64
	// backlog is the sum of the costs of eligible items, in tokens.
	backlog float64
	// flows maps accounts to their flows. It contains every flow with eligible items and every flow whose start is later
	// than virtualTime; pruneFlows removes the others.
	flows map[string]*flow
	// active holds the flows with eligible items, in no order. It is a slice because each decision iterates over it, which
	// is slow for a map.
	active []*flow
	// blocked holds the items that wait for their adapters.
	blocked map[*Item]bool
	// busyPeriods counts the busy periods of all flows.
	busyPeriods int64
	// pruneAt is the number of flows from which pruneFlows iterates over them.
	pruneAt int
}

// flow is the queue of one account in one class.
type flow struct {
	items []*Item
	// start is the virtual start time of the first item, or of the next one to arrive if there are no items.
	start float64
	// backlog is the sum of the costs of items, in tokens.
	backlog float64
	weight  float64
	// busyPeriod identifies the current busy period, which lasts from the arrival of an item at an empty flow to the next
	// such arrival.
	busyPeriod int64
	// carriedCharge is the part of start that charges of earlier busy periods added beyond the virtual time; at least 0.
	carriedCharge float64
	// activeIndex is the index in active; it is valid only while the flow has items.
	activeIndex int
}

// add appends an item to the flow of its account, or to the blocked items.
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
		c.startBusyPeriod(f)
		f.activeIndex = len(c.active)
		c.active = append(c.active, f)
	}

	f.weight = item.Weight
	f.items = append(f.items, item)
	f.backlog += float64(item.Cost)
	c.backlog += float64(item.Cost)
}

// startBusyPeriod starts a busy period of a flow that has no items.
func (c *class) startBusyPeriod(f *flow) {
	c.busyPeriods++
	f.busyPeriod = c.busyPeriods
	f.carriedCharge = max(0, f.start-c.virtualTime)
	f.start = max(f.start, c.virtualTime)
}

// refund reverses a part of the charge of an item that was served. For an item of an earlier busy period it is limited to
// the charge carried into the current one; otherwise an account could accumulate credit while it has no waiting items.
func (c *class) refund(item *Item, amount float64) {
	f := c.flows[item.Account]
	if f == nil {
		return
	}

	if f.busyPeriod != item.busyPeriod {
		amount = min(amount, f.carriedCharge)
		f.carriedCharge -= amount
	}

	f.start -= amount

	if len(f.items) == 0 {
		c.pruneFlows()
	}
}

// pop removes and returns the first item of the flow with the earliest virtual start time, or returns nil.
func (c *class) pop() *Item {
	var first *flow

	for _, f := range c.active {
		if first == nil || f.startsBefore(first) {
			first = f
		}
	}

	if first == nil {
		return nil
	}

	item := first.items[0]
	first.items[0] = nil
	first.items = first.items[1:]

	c.virtualTime = max(c.virtualTime, first.start)
	item.busyPeriod = first.busyPeriod
	first.start += float64(item.Cost) / first.weight
	c.itemRemoved(first, item)

	return item
}

// startsBefore orders flows by virtual start time, then by the arrival of their first items.
func (f *flow) startsBefore(other *flow) bool {
	if f.start != other.start {
		return f.start < other.start
	}

	return f.items[0].sequence < other.items[0].sequence
}

// remove takes an item out of the class and reports whether it was in it.
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
	c.itemRemoved(f, item)

	return true
}

func (c *class) itemRemoved(f *flow, item *Item) {
	f.backlog -= float64(item.Cost)
	c.backlog -= float64(item.Cost)

	if len(f.items) == 0 {
		c.deactivate(f)
		c.pruneFlows()
	}
}

// deactivate removes a flow from active by moving the last one to its index.
func (c *class) deactivate(f *flow) {
	last := len(c.active) - 1
	c.active[f.activeIndex] = c.active[last]
	c.active[f.activeIndex].activeIndex = f.activeIndex
	c.active[last] = nil
	c.active = c.active[:last]
}

// pruneFlows removes the flows without items whose start is not later than the virtual time. It iterates over all flows, so
// it does nothing until their number has doubled.
func (c *class) pruneFlows() {
	if len(c.flows) < c.pruneAt {
		return
	}

	for account, f := range c.flows {
		if len(f.items) == 0 && f.start <= c.virtualTime {
			delete(c.flows, account)
		}
	}

	c.pruneAt = max(minFlowsToPrune, 2*len(c.flows))
}

// newest returns the item that arrived last, blocked items included, or nil.
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

// costAhead returns the tokens that are served before a new item: the backlog of its own account, and the part of each other
// account's backlog that fair queueing starts before the item.
func (c *class) costAhead(item *Item) float64 {
	start := c.virtualTime

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
