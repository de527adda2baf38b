package queue

import "slices"

// class is one priority class with start-time fair queueing (Goyal, Vin and Cheng, 1996) between accounts: it serves
// the account whose next item has the smallest virtual start time.
type class struct {
	priority int32
	// virtual is the virtual start time of the item served last; it never falls.
	virtual float64
	// backlog is the sum of the costs of eligible items, in tokens.
	backlog float64
	// flows holds the accounts with eligible items, and those whose next start lies ahead of virtual.
	flows   map[string]*flow
	blocked map[*Item]bool
}

// flow is the queue of one account in one class.
type flow struct {
	items []*Item
	// start is the virtual start time of the first item.
	start float64
	// backlog is the sum of the costs of items, in tokens.
	backlog float64
	weight  float64
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
		f.start = max(f.start, c.virtual)
	}

	f.weight = item.Weight
	f.items = append(f.items, item)
	f.backlog += float64(item.Cost)
	c.backlog += float64(item.Cost)
}

func (c *class) pop() *Item {
	var first *flow

	for _, f := range c.flows {
		if len(f.items) > 0 && (first == nil || f.before(first)) {
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
		c.forget()
	}
}

// forget drops the accounts without items whose next start is not ahead of the virtual time.
func (c *class) forget() {
	for account, f := range c.flows {
		if len(f.items) == 0 && f.start <= c.virtual {
			delete(c.flows, account)
		}
	}
}

func (c *class) newest() *Item {
	var last *Item

	for _, f := range c.flows {
		if count := len(f.items); count > 0 && (last == nil || f.items[count-1].sequence > last.sequence) {
			last = f.items[count-1]
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

	if own := c.flows[item.Account]; own != nil {
		start = max(start, own.start) + own.backlog/item.Weight
		total = own.backlog
	}

	for account, f := range c.flows {
		if account == item.Account || len(f.items) == 0 || f.start > start {
			continue
		}

		share := (start-f.start)*f.weight + float64(f.items[0].Cost)
		total += min(f.backlog, share)
	}

	return total
}
