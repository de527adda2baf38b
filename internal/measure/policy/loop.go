// Package policy measures routing, admission and limit policies on the same arrivals in virtual time. It drives the
// decision packages against small fakes of engines and of the weight store, without a network model.
package policy

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their virtual times, and of their creation at equal times.
type loop struct {
	now    time.Time
	events events
	count  int64
}

type event struct {
	at    time.Time
	order int64
	do    func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}

	return e[i].order < e[j].order
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(item any) { *e = append(*e, item.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	item := (*e)[last]
	*e = (*e)[:last]

	return item
}

func (l *loop) at(when time.Time, do func()) {
	l.count++
	heap.Push(&l.events, event{at: when, order: l.count, do: do})
}

func (l *loop) after(pause time.Duration, do func()) {
	l.at(l.now.Add(pause), do)
}

// every repeats an action for as long as the loop runs.
func (l *loop) every(pause time.Duration, do func()) {
	l.after(pause, func() {
		do()
		l.every(pause, do)
	})
}

func (l *loop) run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.do()
	}
}
