// Package queue orders waiting requests by priority class and, within a class, by weighted fair queueing of tokens.
package queue

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// defaultRetryDelay is the retry delay suggested to a refused request before a service rate has been observed.
const defaultRetryDelay = time.Second

// DefaultMaxWait is the MaxWait of requests that another server can serve as well. With a shorter wait, requests are
// refused by three servers in a row during an outage of a failure domain; with a longer one, they wait at a busy server
// while others are idle.
const DefaultMaxWait = 4 * time.Second

// Item is a waiting request.
type Item struct {
	// ID identifies the request; the queue does not use it.
	ID string
	// Account is the client account, which has its own flow in each class.
	Account string
	// Class is the priority; higher classes are served first.
	Class int32
	// Cost is in tokens; at least 1.
	Cost int64
	// Weight is the account's share relative to other accounts; values of 0 and below count as 1.
	Weight float64
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
	// MaxWait is the longest expected wait for a concurrency slot with which the item is accepted. A refused request can
	// go to a less busy server. 0 means no limit other than the deadline.
	MaxWait time.Duration
	// Blocked marks an item that waits for its adapter. It counts towards the length, but is not served before Unblock.
	Blocked bool
	// Delay is the time for which a blocked item is expected to stay blocked.
	Delay time.Duration

	// sequence orders items by arrival.
	sequence int64
	// busyPeriod is the busy period of the flow in which the item was charged.
	busyPeriod int64
}

// Throughput describes how fast waiting requests are started.
type Throughput struct {
	// Rate is the observed service rate in tokens per second; 0 if unknown.
	Rate float64
	// BusyTokens is the number of tokens to be served before the first concurrency slot is free; 0 if one is free.
	BusyTokens float64
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	// Limit is the maximum number of items, blocked ones included.
	Limit    int
	classes  []*class
	length   int
	sequence int64
}

// Len returns the number of waiting items, blocked ones included.
func (q *Queue) Len() int {
	return q.length
}

// Push adds an item, or returns an error if it is refused. If the queue is full, the newest item of the lowest class below
// that of the new item is dropped in favor of it and returned.
func (q *Queue) Push(now time.Time, item *Item, throughput Throughput) (dropped *Item, err error) {
	item.Cost = max(item.Cost, 1)

	if item.Weight <= 0 {
		item.Weight = 1
	}

	wait := q.estimateWait(item, throughput)

	if start := now.Add(item.Delay + wait); start.After(item.Deadline) {
		late := start.Sub(item.Deadline)
		return nil, fault.New(fault.Overloaded, "request cannot start before its deadline").WithRetryAfter(late)
	}

	if item.MaxWait > 0 && wait > item.MaxWait {
		return nil, fault.New(fault.Overloaded, "expected wait is longer than the maximum").WithRetryAfter(wait - item.MaxWait)
	}

	if q.length >= q.Limit {
		dropped = q.newestBelow(item.Class)
		if dropped == nil {
			return nil, fault.New(fault.Overloaded, "queue is full").WithRetryAfter(q.retryDelay(throughput))
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

// Block marks an eligible item as blocked, because its adapter has to be loaded again.
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
			q.itemRemoved()
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

	q.itemRemoved()

	return true
}

// RefundUnused reduces the charge of a popped item to the tokens that it used. Call it once, when the request has ended.
// Tokens beyond the declared cost are not charged.
func (q *Queue) RefundUnused(item *Item, used int64) {
	if unused := item.Cost - max(used, 0); unused > 0 {
		q.class(item.Class).refund(item, float64(unused)/item.Weight)
	}
}

func (q *Queue) itemRemoved() {
	q.length--
	invariant.Check(q.length >= 0, "queue.length", "length is %d", q.length)
}

// class returns the class with the priority and creates it if needed; classes are sorted by descending priority.
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

// newestBelow returns the newest item of the lowest class below the priority that has items, or nil.
func (q *Queue) newestBelow(below int32) *Item {
	for at := len(q.classes) - 1; at >= 0 && q.classes[at].priority < below; at-- {
		if item := q.classes[at].newest(); item != nil {
			return item
		}
	}

	return nil
}

// estimateWait returns the expected time until a new item starts.
func (q *Queue) estimateWait(item *Item, throughput Throughput) time.Duration {
	ahead := throughput.BusyTokens

	for _, c := range q.classes {
		if c.priority > item.Class {
			ahead += c.backlog
		}

		if c.priority == item.Class {
			ahead += c.costAhead(item)
		}
	}

	return throughput.duration(ahead)
}

// retryDelay returns the expected time until the whole backlog has been served.
func (q *Queue) retryDelay(throughput Throughput) time.Duration {
	if throughput.Rate <= 0 {
		return defaultRetryDelay
	}

	backlog := throughput.BusyTokens
	for _, c := range q.classes {
		backlog += c.backlog
	}

	return max(throughput.duration(backlog), time.Millisecond)
}

// duration returns the time in which the tokens are served; 0 if the rate is unknown.
func (p Throughput) duration(tokens float64) time.Duration {
	if p.Rate <= 0 {
		return 0
	}

	return time.Duration(tokens / p.Rate * float64(time.Second))
}
