package play

import (
	"container/heap"
	"time"
)

// startTime is the start of virtual time.
var startTime = time.Unix(1_000_000, 0)

// event is an action at a virtual time; seq keeps the order of actions at the same time.
type event struct {
	at     time.Time
	seq    int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int)   { e[i], e[j] = e[j], e[i] }
func (e *events) Push(value any) { *e = append(*e, value.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}

// clock runs actions in the order of virtual time.
type clock struct {
	now     time.Time
	pending events
	seq     int
}

func (c *clock) after(delay time.Duration, action func()) {
	c.seq++
	heap.Push(&c.pending, event{at: c.now.Add(max(delay, 0)), seq: c.seq, action: action})
}

// run runs all actions until the given time.
func (c *clock) run(until time.Time) {
	for len(c.pending) > 0 && !c.pending[0].at.After(until) {
		next := heap.Pop(&c.pending).(event)
		c.now = next.at
		next.action()
	}
}
