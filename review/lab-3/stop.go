//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// patientMs is the response-time goal of a route whose clients wait a while: they close a stream after four times as long without an event.
	patientMs = 3000
	// lossSlack is the bound lossSlackMs.
	lossSlack = 200 * time.Millisecond
)

// stop judges rule LOST for a planned stop: an entry gets SIGTERM under high load, while requests wait at agents.
func stop(c *cluster, trouble bool) error {
	if err := queueCluster(c, patientMs); err != nil {
		return err
	}

	got := load(c, "", 1, func() {
		if !trouble {
			return
		}

		c.record.add("operator", "SIGTERM to entry 0")
		_ = c.process("entry", entryNumber).command.Process.Signal(syscall.SIGTERM)
	})

	arrived := map[string]bool{}

	for _, m := range c.models {
		for _, one := range m.arrivedAfter(time.Time{}) {
			arrived[one.id] = true
		}
	}

	lost, cut := 0, 0

	for _, one := range got {
		switch {
		case one.status == 0 && !arrived[one.id] && one.took > lossSlack:
			c.record.add("verdict", "%s was cut off after %s, and had not been passed on", one.id, one.took.Round(time.Millisecond))

			lost++
		case one.status == 0 || !one.complete:
			cut++
		}
	}

	c.record.add("verdict", "%d requests were cut off without an answer and never passed on, %d others were cut off", lost, cut)

	if lost == 0 {
		return nil
	}

	return fmt.Errorf("%w: LOST, %d requests were read and cut off without an answer, and had not been passed on to a server", errBroken, lost)
}
