package engine

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// phase is the state of an answer.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	// phaseWhole answers ended with an end marker.
	phaseWhole
	// phaseCut answers ended without one.
	phaseCut
)

// answer is one request and what was produced for it. The Server's mutex guards it.
type answer struct {
	request engine.Request
	// words is the whole text, one word for each event.
	words  []string
	finish string
	// produced is the number of events produced; at most len(words).
	produced int64
	phase    phase
	// ended is when the phase became whole or cut.
	ended time.Time
	// changed is closed and replaced at every change.
	changed chan struct{}
	// stop is closed when the answer is cut.
	stop chan struct{}
}

func newAnswer(request engine.Request) *answer {
	words, finish := Output(request)

	return &answer{
		request: request,
		words:   words,
		finish:  finish,
		changed: make(chan struct{}),
		stop:    make(chan struct{}),
	}
}

// at returns the event at a position, or false if it is not there or not there yet.
func (a *answer) at(seq int64) (engine.Event, bool) {
	event := engine.Event{ID: a.request.ID, Adapter: a.request.Adapter, Seq: seq}

	switch {
	case seq < 0:
		return engine.Event{}, false
	case seq < a.produced:
		event.Text = a.words[seq]
		event.Tokens = 1

		return event, true
	case seq == a.produced && a.phase == phaseWhole:
		event.End = true
		event.FinishReason = a.finish
		event.PromptTokens = PromptTokens(a.request.Prompt)
		event.OutputTokens = a.produced

		return event, true
	default:
		return engine.Event{}, false
	}
}

func (a *answer) over() bool {
	return a.phase == phaseWhole || a.phase == phaseCut
}

// advance produces the next event or ends the answer; it reports whether the answer goes on.
func (a *answer) advance() bool {
	length := int64(len(a.words))
	invariant.Check(a.produced <= length, "standin.produced", "%d events of %d", a.produced, length)

	if a.produced < length {
		a.produced++
	}

	if a.produced == length {
		a.end(phaseWhole)
		return false
	}

	a.wake()

	return true
}

// cut ends the answer without an end marker.
func (a *answer) cut() {
	if a.over() {
		return
	}

	close(a.stop)
	a.end(phaseCut)
}

func (a *answer) end(as phase) {
	a.phase = as
	a.ended = time.Now()
	a.wake()
}

func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}
