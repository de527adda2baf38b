package holder

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
)

const (
	// clockCheckPeriod is the time between two checks whether the true time is known, and recordPeriod that between two messages to the agents.
	clockCheckPeriod = 100 * time.Millisecond
	recordPeriod     = time.Second
	// recordDelay is the time from the end of a window until its counts are sent, and lateRecordDelay that until they are sent once more, with
	// the plain requests that were not decided before.
	recordDelay     = 50 * time.Millisecond
	lateRecordDelay = 700 * time.Millisecond
	// minClocks is the number of agents whose times of day suffice to determine the true time, and clockTimeout is how long a process that has
	// just started waits for them.
	minClocks    = 3
	clockTimeout = 3 * time.Second
)

// Counting counts the requests of one entry by windows of the true time, and sends the counts to agents. Its exported fields are set before use.
type Counting struct {
	Counter *usage.Counter
	// Clock returns the local time, which includes the time in which the VM was suspended.
	Clock func() time.Duration
	// Differences returns the differences between the times of day of agents and the local time, and Own the difference for this VM.
	Differences func() []time.Duration
	Own         func() time.Duration
	// Record sends counts to agents.
	Record func(ctx context.Context, windows []usage.Window)

	mu        sync.Mutex
	startedAt time.Duration
	started   bool
	offset    time.Duration
	hasOffset bool
	// clocks is the number of agents from whose times of day offset was determined.
	clocks int
}

// Run sends the counts to agents until the context ends. Flush sends the last ones.
func (c *Counting) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := clockCheckPeriod

		if now, known := c.Now(); known {
			c.Counter.SetOffset(c.currentOffset())
			c.record(ctx)

			wait = untilRecord(now, c.Counter.Length)
		}

		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Flush sends the counts once more, at the end of the process.
func (c *Counting) Flush(ctx context.Context) {
	c.record(ctx)
}

func (c *Counting) record(ctx context.Context) {
	if windows := c.Windows(); len(windows) > 0 {
		c.Record(ctx, windows)
	}
}

// untilRecord returns the time until the next message.
func untilRecord(now, length time.Duration) time.Duration {
	since := now % length
	wait := recordPeriod

	for _, at := range []time.Duration{recordDelay, lateRecordDelay, length + recordDelay} {
		if at > since {
			wait = min(wait, at-since)
		}
	}

	return wait
}

// Begin counts a request that has begun to run.
func (c *Counting) Begin(account string) {
	c.Counter.Begin(c.Clock(), account)
}

// Send records a plain request that is about to be sent, and returns a function that records whether it ran, or may have run.
func (c *Counting) Send(account string) (decide func(ran bool)) {
	sent := c.Counter.Send(c.Clock(), account)

	return func(ran bool) { c.Counter.Decide(sent, ran) }
}

// Windows returns what this entry has counted in the latest windows.
func (c *Counting) Windows() []usage.Window {
	return c.Counter.Windows(c.Clock())
}

// Now returns the true time since the start of 1970; false while it is not known.
func (c *Counting) Now() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.update()

	return c.Clock() + c.offset, c.hasOffset
}

// update determines the offset from the times of day of the agents. The lock must be held.
func (c *Counting) update() {
	if !c.started {
		c.startedAt, c.started = c.Clock(), true
	}

	differences := c.Differences()

	// Among fewer clocks, the median may be a wrong one.
	if !c.hasOffset && len(differences) < minClocks && c.Clock()-c.startedAt < clockTimeout {
		return
	}

	// A process that has lost its connections to agents keeps the offset that they gave it.
	if c.hasOffset && len(differences) < min(c.clocks, minClocks) {
		return
	}

	c.clocks = len(differences)
	c.offset, c.hasOffset = usage.TrueOffset(append(differences, c.Own())), true
}

func (c *Counting) currentOffset() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.offset
}

// True converts a local time to the true time.
func (c *Counting) True(local time.Duration) time.Duration {
	return local + c.currentOffset()
}
