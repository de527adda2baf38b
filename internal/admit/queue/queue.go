// Package queue orders waiting requests by priority class and, inside a class, by weighted fair queueing of tokens.
package queue

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// defaultRetry is the advice to a refused request while no service rate was observed yet.
const defaultRetry = time.Second

// DefaultMaxWait is the MaxWait of requests that another server may serve as well. Shorter ones refuse requests at three servers in a row while a
// failure domain is out; longer ones let requests wait at a busy server while others are idle.
const DefaultMaxWait = 4 * time.Second

// Item is a waiting request.
type Item struct {
	ID      string
	Account string
	// Class is the priority; higher classes are served first.
	Class int32
	// Cost is in tokens; at least 1.
	Cost int64
	// Weight is the account's share relative to the others; values of 0 and below count as 1.
	Weight float64
	// Deadline is the last moment at which the request may start.
	Deadline time.Time
	// MaxWait is the longest expected wait for a place with which the item is accepted, so that the request can go to a less
	// busy server instead; 0 means until the deadline.
	MaxWait time.Duration
	// Blocked items count towards the length and are not served until Unblock.
	Blocked bool
	// Delay is the time that a blocked item is expected to stay blocked.
	Delay time.Duration

	// sequence orders items by arrival.
	sequence int64
	// period is the period of its flow in which the item was charged.
	period int64
}

// Throughput is how fast waiting requests are started.
type Throughput struct {
	// Rate is the observed service rate in tokens per second; 0 if unknown.
	Rate float64
	// BusyTokens is the tokens to be served before the first place is free; 0 if one is free.
	BusyTokens float64
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	// Limit is the highest number of items, blocked ones included.
	Limit    int
	classes  []*class
	length   int
	sequence int64
}

// Len returns the number of waiting items, blocked ones included.
func (q *Queue) Len() int {
	return q.length
}

// Push adds an item, or returns why it is refused.
// A full queue drops the newest item of its lowest class for an item of a higher class, and returns it.
func (q *Queue) Push(now time.Time, item *Item, pace Throughput) (dropped *Item, err error) {
	item.Cost = max(item.Cost, 1)

	if item.Weight <= 0 {
		item.Weight = 1
	}

	wait := q.estimate(item, pace)

	if start := now.Add(item.Delay + wait); start.After(item.Deadline) {
		late := start.Sub(item.Deadline)
		return nil, fault.New(fault.Overloaded, "cannot start before its deadline").WithRetry(late)
	}

	if item.MaxWait > 0 && wait > item.MaxWait {
		return nil, fault.New(fault.Overloaded, "would wait too long").WithRetry(wait - item.MaxWait)
	}

	if q.length >= q.Limit {
		dropped = q.lowest(item.Class)
		if dropped == nil {
			return nil, fault.New(fault.Overloaded, "queue is full").WithRetry(q.retry(pace))
		}

		q.Remove(dropped)
	}

	q.sequence++
	item.sequence = q.sequence
	q.class(item.Class).add(item)
	q.length++

	return dropped, nil
}

// Unblock makes a blocked item eligible.
func (q *Queue) Unblock(item *Item) {
	if !item.Blocked {
		return
	}

	c := q.class(item.Class)
	if !c.remove(item) {
		return
	}

	item.Blocked = false
	c.add(item)
}

// Block makes an eligible item wait for its adapter again.
func (q *Queue) Block(item *Item) {
	if item.Blocked || !q.class(item.Class).remove(item) {
		return
	}

	item.Blocked = true
	q.class(item.Class).add(item)
}

// Pop removes and returns the item to serve next, or nil.
func (q *Queue) Pop() *Item {
	for _, c := range q.classes {
		if item := c.pop(); item != nil {
			q.removed()
			return item
		}
	}

	return nil
}

// Remove takes an item out of the queue and reports whether it was in it.
func (q *Queue) Remove(item *Item) bool {
	if !q.class(item.Class).remove(item) {
		return false
	}

	q.removed()

	return true
}

// RefundUnused corrects the charge of a popped item to the tokens that it used. Call it once, when the item's work has ended.
// Tokens beyond the declared cost are not charged.
func (q *Queue) RefundUnused(item *Item, used int64) {
	if unused := item.Cost - max(used, 0); unused > 0 {
		q.class(item.Class).credit(item, float64(unused)/item.Weight)
	}
}

func (q *Queue) removed() {
	q.length--
	invariant.Check(q.length >= 0, "queue.length", "length is %d", q.length)
}

// class returns the class with the priority; classes are kept in order from the highest.
func (q *Queue) class(priority int32) *class {
	at := 0

	for ; at < len(q.classes) && q.classes[at].priority >= priority; at++ {
		if q.classes[at].priority == priority {
			return q.classes[at]
		}
	}

	added := &class{priority: priority, flows: map[string]*flow{}, blocked: map[*Item]bool{}}
	q.classes = append(q.classes, nil)
	copy(q.classes[at+1:], q.classes[at:])
	q.classes[at] = added

	return added
}

// lowest returns the newest item of the lowest class below the priority that has one.
func (q *Queue) lowest(below int32) *Item {
	for at := len(q.classes) - 1; at >= 0 && q.classes[at].priority < below; at-- {
		if item := q.classes[at].newest(); item != nil {
			return item
		}
	}

	return nil
}

// estimate returns the time until the item would start.
func (q *Queue) estimate(item *Item, pace Throughput) time.Duration {
	ahead := pace.BusyTokens

	for _, c := range q.classes {
		if c.priority > item.Class {
			ahead += c.backlog
		}

		if c.priority == item.Class {
			ahead += c.ahead(item)
		}
	}

	return pace.time(ahead)
}

func (q *Queue) retry(pace Throughput) time.Duration {
	if pace.Rate <= 0 {
		return defaultRetry
	}

	backlog := pace.BusyTokens
	for _, c := range q.classes {
		backlog += c.backlog
	}

	return max(pace.time(backlog), time.Millisecond)
}

// time returns how long the tokens take; 0 if the rate is unknown.
func (p Throughput) time(tokens float64) time.Duration {
	if p.Rate <= 0 {
		return 0
	}

	return time.Duration(tokens / p.Rate * float64(time.Second))
}
