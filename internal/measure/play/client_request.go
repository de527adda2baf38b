package play

import (
	"strconv"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

const (
	// eventMargin is the time that the first event takes from the server to the client, as the agent assumes it.
	eventMargin = 20 * time.Millisecond
	// maxRefusals is the number of refusals by servers after which the entry refuses the request.
	maxRefusals = 3
	// Clients leave when nothing comes for the longest of abandonTime, abandonObjectives times the objective and abandonGaps times the longest gap
	// that is on time.
	abandonTime       = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8
)

// clientRequest is one request of a client.
type clientRequest struct {
	number       int
	kind         *Kind
	entry        *entry
	adapter      schedule.Adapter
	promptTokens int64
	outputTokens int64
	// firstSent is when the client first sent the request, and lastSent when it last did.
	firstSent time.Time
	lastSent  time.Time
	// firstOutput is when the output began, and maxGap the longest gap between two output tokens.
	firstOutput time.Time
	maxGap      time.Duration
	refusedBy   map[*server]bool
	refusals    int
	// retried is true once the client retries after a refusal.
	retried bool
	ended   bool
}

func (c *clientRequest) id() string {
	return strconv.Itoa(c.number)
}

// maxWait returns how long the request may wait to be started.
func (c *clientRequest) maxWait(now time.Time) time.Duration {
	return refuse.MaxStreamWait(c.kind.Objective, c.kind.GapTarget, now.Sub(c.lastSent), time.Hour)
}

// patience returns the time without an event after which the client leaves.
func (c *clientRequest) patience() time.Duration {
	return max(abandonTime, abandonObjectives*c.kind.Objective, abandonGaps*c.kind.GapTarget)
}

func (c *clientRequest) schedulerRequest(now time.Time) *schedule.Request {
	return &schedule.Request{
		Adapter:         c.adapter,
		InputTokens:     c.promptTokens,
		MaxOutputTokens: c.outputTokens,
		Urgency:         c.kind.Urgency,
		Arrived:         now,
		Due:             c.lastSent.Add(c.kind.Objective - eventMargin),
		Expires:         now.Add(c.maxWait(now)),
		GapTarget:       c.kind.GapTarget,
	}
}

// onRefused sends the request to another server after the refusal of an agent, or refuses it after maxRefusals.
func (c *clientRequest) onRefused(by *server, err *fault.Error) {
	c.refusals++
	c.refusedBy[by] = true

	if c.refusals < maxRefusals {
		c.entry.send(c)
		return
	}

	c.entry.refuse(c, err)
}

// onServerLost retries the request if it had no output yet. Otherwise it has failed.
func (c *clientRequest) onServerLost() {
	if c.firstOutput.IsZero() {
		c.entry.send(c)
		return
	}

	c.finish(outcomeFailed)
}

// beganOnTime reports whether the first event came within the objective.
func (c *clientRequest) beganOnTime() bool {
	return c.firstOutput.Sub(c.firstSent) <= c.kind.Objective
}

func (c *clientRequest) onCompleted() {
	switch {
	case c.beganOnTime() && c.maxGap <= c.kind.GapTarget:
		c.finish(outcomeOnTime)
	default:
		c.finish(outcomeLate)
	}
}

func (c *clientRequest) finish(outcome outcome) {
	if c.ended {
		return
	}

	c.ended = true
	c.entry.simulation.inFlight--
	c.entry.simulation.result.record(c, outcome)
}
