// Package policy measures routing, admission and limit policies on the same arrivals in virtual time. It runs the decision
// packages against simple fakes of the engines and of the weight store, without a network model.
package policy

import (
	"container/heap"
	"time"
)

// loop is an event loop in virtual time. Events at the same time run in the order of their creation.
type loop struct {
	now    time.Time
	events events
	count  int64
}

type event struct {
	at     time.Time
	seq    int64
	action func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}

	return e[i].seq < e[j].seq
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

func (l *loop) at(when time.Time, action func()) {
	l.count++
	heap.Push(&l.events, event{at: when, seq: l.count, action: action})
}

func (l *loop) after(delay time.Duration, action func()) {
	l.at(l.now.Add(delay), action)
}

// every repeats an action at an interval as long as the loop runs.
func (l *loop) every(interval time.Duration, action func()) {
	l.after(interval, func() {
		action()
		l.every(interval, action)
	})
}

func (l *loop) run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.action()
	}
}
