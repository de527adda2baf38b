//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// streams is the number of streams that are broken, and newStreams that of streams that begin meanwhile.
	streams, newStreams = 24, 24
	// streamBudget is the time budget of script-check in grown/LATER.md.
	streamBudget = 20 * time.Second
	// breakAfter is when the streams are broken, and backAfter when their clients come back: a while after the programs run again.
	breakAfter, backAfter = 3 * time.Second, 5 * time.Second
	// restartDelay is the time between the end of a program and its next start.
	restartDelay = 500 * time.Millisecond
	// contact is the bound contactMs.
	contact = 3 * time.Second
	// maxTries is the number of attempts of a client that takes up its stream.
	maxTries = 4
)

// takenUp is what became of one stream.
type takenUp struct {
	number   int
	attempt  string
	tokens   int
	last     int
	tries    int
	goesOn   bool
	statuses []int
}

// streamBody returns the body of the attempts at a stream.
func streamBody(number int) string {
	return fmt.Sprintf("stream %d", number)
}

// takeUp has a client take up its stream at the given entries in turn until it goes on, or its time budget ends.
func (c *cluster) takeUp(stream *takenUp, entries []int, opened time.Time) {
	for stream.tries < maxTries {
		left := streamBudget - time.Since(opened)
		if left <= 0 {
			return
		}

		stream.tries++
		got := c.send(context.Background(), entries[stream.tries%len(entries)], request{
			method: "POST", path: "/lohu930/2f", body: streamBody(stream.number), tokens: stream.tokens, prefix: "5c1e07a2", budget: left, lastEvent: stream.last, resumes: stream.attempt,
		})
		stream.statuses = append(stream.statuses, got.status)

		if got.status == 200 && got.firstEvent == stream.last+1 {
			stream.goesOn = true
			return
		}

		// Clients wait as they are told, up to a third of the time that they have left.
		time.Sleep(min(max(got.retryAfter, 200*time.Millisecond), (streamBudget-time.Since(opened))/3))
	}
}

// restart judges rule LOST for streams that clients take up: all programs are killed at the same moment and start again.
func restart(c *cluster, trouble bool) error {
	const entries = 3

	c.putConfig(7, route{
		prefix: "lohu930", kind: "streaming", service: "asistente", targetMs: 1000, timeoutMs: int(streamBudget.Milliseconds()), attempts: 2, resumable: true,
	})

	for range zones {
		if err := c.addModelServer(&modelServer{software: "v1", events: 150, interval: 60 * time.Millisecond}); err != nil {
			return err
		}
	}

	if err := c.startEntries(entries); err != nil {
		return err
	}

	if err := c.awaitReady(entries, 10*time.Second); err != nil {
		return err
	}

	time.Sleep(2 * time.Second)

	ctx, leave := context.WithCancel(context.Background())
	defer leave()

	broken := make([]*takenUp, streams)
	opened := time.Now()

	var open, back sync.WaitGroup

	for i := range broken {
		broken[i] = &takenUp{last: -1, number: i, tokens: 1000}

		open.Go(func() {
			got := c.send(ctx, i%entries, request{
				method: "POST", path: "/lohu930/2f", body: streamBody(i), tokens: 1000, prefix: "5c1e07a2", budget: streamBudget, lastEvent: -1,
			})
			broken[i].attempt, broken[i].last = got.id, got.lastEvent
		})

		time.Sleep(50 * time.Millisecond)
	}

	time.Sleep(time.Until(opened.Add(breakAfter)))

	if trouble {
		if err := c.restartAll(entries); err != nil {
			return err
		}
	} else {
		c.record.add("client", "all clients close their channels")
		leave()
	}

	restarted := time.Now()

	open.Wait()

	if err := c.awaitReady(entries, 10*time.Second); err != nil {
		return err
	}

	time.Sleep(time.Until(restarted.Add(backAfter)))

	began := 0

	var mu sync.Mutex

	for i, stream := range broken {
		if stream.last < 0 {
			return fmt.Errorf("stream %d had no event before it was broken", i)
		}

		back.Go(func() { c.takeUp(stream, []int{0, 1, 2}, opened) })
	}

	for i := range newStreams {
		back.Go(func() {
			got := c.send(context.Background(), i%entries, request{
				method: "POST", path: "/lohu930/2f", tokens: 1000, prefix: "5c1e07a2", budget: streamBudget, lastEvent: -1,
			})

			mu.Lock()
			defer mu.Unlock()

			if got.status == 200 && got.firstEvent == 0 {
				began++
			}
		})
	}

	back.Wait()

	return judgeTakenUp(c, broken, began, newStreams)
}

// judgeTakenUp compares the share of the streams that go on with that of the new streams that begin.
func judgeTakenUp(c *cluster, broken []*takenUp, began, fresh int) error {
	goesOn := 0

	for _, stream := range broken {
		if stream.goesOn {
			goesOn++
		}

		c.record.add("verdict", "stream %s was taken up %d times with statuses %v, goes on: %t", stream.attempt, stream.tries, stream.statuses, stream.goesOn)
	}

	c.record.add("verdict", "%d of %d streams that were taken up go on, %d of %d new streams began", goesOn, len(broken), began, fresh)

	if float64(goesOn)/float64(len(broken)) >= float64(began)/float64(fresh)/2 {
		return nil
	}

	return fmt.Errorf("%w: LOST, %d of %d streams that were taken up go on, while %d of %d new streams began", errBroken, goesOn, len(broken), began, fresh)
}

// restartAll kills all programs at the same moment and starts them again.
func (c *cluster) restartAll(entries int) error {
	c.record.add("operator", "all programs are killed")

	var ended sync.WaitGroup

	for i := range entries {
		ended.Go(c.process("entry", entryNumber+i).kill)
	}

	for _, m := range c.models {
		ended.Go(c.process("agent", m.number).kill)
	}

	ended.Wait()
	time.Sleep(restartDelay)

	c.bootstrap = false

	for _, m := range c.models {
		if err := c.start(m.number, "agent", m.zone); err != nil {
			return err
		}
	}

	return c.startEntries(entries)
}
