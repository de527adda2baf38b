//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// releaseAfter is when a server of a new version is added, and killAfter when the entry is killed.
	releaseAfter, killAfter = 2 * time.Second, 5 * time.Second
)

// release judges rule LOST for streams that clients take up: a new version is released while streams run, and later their entry is killed.
func release(c *cluster, trouble bool) error {
	const entries = 3

	c.putConfig(7, route{
		prefix: "lohu930", kind: "streaming", service: "reservas", targetMs: 1000, timeoutMs: int(streamBudget.Milliseconds()), attempts: 2, resumable: true,
	})

	for range zones {
		if err := c.addModelServer(&modelServer{software: "v1", events: 20, interval: 30 * time.Millisecond}); err != nil {
			return err
		}

		if err := c.addPlainServer(&plainServer{software: "v1", events: 250, interval: 60 * time.Millisecond}); err != nil {
			return err
		}
	}

	if err := c.startEntries(entries); err != nil {
		return err
	}

	if err := c.awaitReady(entries, 10*time.Second); err != nil {
		return err
	}

	time.Sleep(4 * time.Second)

	ctx, leave := context.WithCancel(context.Background())
	defer leave()

	broken := make([]*takenUp, streams)
	opened := time.Now()

	var open, back sync.WaitGroup

	for i := range broken {
		broken[i] = &takenUp{last: -1, number: i}

		open.Go(func() {
			got := c.send(ctx, 0, request{method: "POST", path: "/lohu930/2f", body: streamBody(i), budget: streamBudget, lastEvent: -1})
			broken[i].attempt, broken[i].last = got.id, got.lastEvent
		})
	}

	time.Sleep(time.Until(opened.Add(releaseAfter)))
	c.record.add("operator", "a server of version v2 is added")

	if err := c.addPlainServer(&plainServer{software: "v2", events: 250, interval: 60 * time.Millisecond}); err != nil {
		return err
	}

	time.Sleep(time.Until(opened.Add(killAfter)))

	if trouble {
		c.record.add("operator", "entry 0 is killed")
		c.process("entry", entryNumber).kill()
	} else {
		c.record.add("client", "all clients close their channels")
		leave()
	}

	open.Wait()
	time.Sleep(200 * time.Millisecond)

	began := 0

	var mu sync.Mutex

	for i, stream := range broken {
		if stream.last < 0 {
			return fmt.Errorf("stream %d had no event before it was broken", i)
		}

		back.Go(func() { c.takeUp(stream, []int{1, 2}, opened) })
	}

	for i := range newStreams {
		back.Go(func() {
			got := c.send(context.Background(), 1+i%2, request{method: "POST", path: "/lohu930/2f", budget: streamBudget, lastEvent: -1})

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
