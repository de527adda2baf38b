package engine

import (
	"time"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// phase tells how far a generation has progressed.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	// phaseCompleted is the phase of a generation that ended with an end marker.
	phaseCompleted
	// phaseAborted is the phase of a generation that ended without an end marker.
	phaseAborted
)

// generation is one request and the output generated for it. The Server's mutex guards it.
type generation struct {
	request api.Request
	// tokens is the complete output, one string for each token; each token is sent as one event.
	tokens       []string
	finishReason string
	// generated is the number of tokens generated so far; at most len(tokens).
	generated int64
	phase     phase
	// endedAt is the time at which the generation completed or was aborted.
	endedAt time.Time
	// changed is closed and replaced at every change, to wake the streams that read the generation.
	changed chan struct{}
	// aborted is closed when the generation is aborted.
	aborted chan struct{}
}

func newGeneration(request api.Request) *generation {
	tokens, finishReason := Output(request)

	return &generation{
		request:      request,
		tokens:       tokens,
		finishReason: finishReason,
		changed:      make(chan struct{}),
		aborted:      make(chan struct{}),
	}
}

// eventAt returns the event with a sequence number, or false if there is none or it is not generated yet.
func (g *generation) eventAt(seq int64) (api.Event, bool) {
	event := api.Event{ID: g.request.ID, Adapter: g.request.Adapter, Seq: seq}

	switch {
	case seq < 0:
		return api.Event{}, false
	case seq < g.generated:
		event.Text = g.tokens[seq]
		event.Tokens = 1

		return event, true
	case seq == g.generated && g.phase == phaseCompleted:
		event.End = true
		event.FinishReason = g.finishReason
		event.PromptTokens = PromptTokens(g.request.Prompt)
		event.OutputTokens = g.generated

		return event, true
	default:
		return api.Event{}, false
	}
}

func (g *generation) hasEnded() bool {
	return g.phase == phaseCompleted || g.phase == phaseAborted
}

// advance generates the next token and completes the generation after the last one; it reports whether the generation continues.
func (g *generation) advance() bool {
	length := int64(len(g.tokens))
	invariant.Check(g.generated <= length, "standin.produced", "%d tokens generated of %d", g.generated, length)

	if g.generated < length {
		g.generated++
	}

	if g.generated == length {
		g.end(phaseCompleted)
		return false
	}

	g.notify()

	return true
}

// abort ends the generation without an end marker. It does nothing if the generation has ended.
func (g *generation) abort() {
	if g.hasEnded() {
		return
	}

	close(g.aborted)
	g.end(phaseAborted)
}

func (g *generation) end(as phase) {
	g.phase = as
	g.endedAt = time.Now()
	g.notify()
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}
