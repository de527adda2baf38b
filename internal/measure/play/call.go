package play

import (
	"strconv"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

const (
	// dueMargin is the time that a server takes to read a prompt and to write the first output.
	dueMargin = 150 * time.Millisecond
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

func (c *call) id() string {
	return strconv.Itoa(c.number)
}

// patience returns how long the request may wait for its turn.
func (c *call) patience(now time.Time, load *Load) time.Duration {
	return refuse.MaxStreamWait(load.Objective, load.Pause, now.Sub(c.asked), time.Hour)
}

func (c *call) ticket(now time.Time, load *Load) *schedule.Request {
	return &schedule.Request{
		Adapter:         c.adapter,
		InputTokens:     c.input,
		MaxOutputTokens: c.output,
		Arrived:         now,
		Due:             now.Add(load.Objective - dueMargin),
		Expires:         now.Add(c.patience(now, load)),
	}
}

// refused takes the refusal of an agent.
func (c *call) refused(by *server, err *fault.Error) {
	c.refusals++
	c.passed[by] = true

	if c.refusals < refusalLimit {
		c.entry.send(c)
		return
	}

	c.entry.refuse(c, err)
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
	c.entry.world.open--
	c.entry.world.result.add(c, outcome)
}
