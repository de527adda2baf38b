package play

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

const (
	// dueMargin is the time that a server takes to read a prompt and to write the first output.
	dueMargin = 150 * time.Millisecond
	// abandonTime and abandonObjectives times the objective bound the silence after which a caller leaves.
	abandonTime       = 2 * time.Second
	abandonObjectives = 4
	// readingTime is kept for reading the prompt before the caller leaves.
	readingTime = 400 * time.Millisecond
	// refusalLimit is the number of servers that may refuse a request.
	refusalLimit = 3
)

// call is one request of a caller.
type call struct {
	number  int
	entry   *entry
	adapter schedule.Adapter
	input   int64
	output  int64
	// arrived is when the caller first asked, and asked when it last did.
	arrived time.Time
	asked   time.Time
	// first is when the output began, and pause the longest pause in it.
	first    time.Time
	pause    time.Duration
	passed   map[*server]bool
	refusals int
	// again says that the caller comes back after a refusal.
	again bool
	ended bool
}

// patience returns how long the request may wait for its turn.
func (c *call) patience(now time.Time, objective time.Duration) time.Duration {
	return max(abandonTime, abandonObjectives*objective) - now.Sub(c.asked) - readingTime
}

func (c *call) ticket(now time.Time, objective time.Duration) *schedule.Ticket {
	return &schedule.Ticket{
		Adapter: c.adapter,
		Input:   c.input,
		Output:  c.output,
		Arrived: now,
		Due:     now.Add(objective - dueMargin),
		Expires: now.Add(c.patience(now, objective)),
	}
}

// refused takes the refusal of an agent.
func (c *call) refused(by *server) {
	c.refusals++
	c.passed[by] = true

	if c.refusals < refusalLimit {
		c.entry.send(c)
		return
	}

	c.entry.refuse(c, 0)
}

// lost takes the loss of the server.
func (c *call) lost() {
	if c.first.IsZero() {
		c.entry.send(c)
		return
	}

	c.finish(outcomeFailed)
}

func (c *call) done() {
	load := c.entry.world.load

	switch {
	case c.first.Sub(c.arrived) <= load.Objective && c.pause <= load.Pause:
		c.finish(outcomeOnTime)
	default:
		c.finish(outcomeLate)
	}
}

func (c *call) finish(outcome outcome) {
	if c.ended {
		return
	}

	c.ended = true
	c.entry.world.result.add(c, outcome)
}
