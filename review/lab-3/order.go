//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// upgradeAfter is when the server is upgraded.
	upgradeAfter = 3 * time.Second
	// upgradeDown is the time between the end of a server's process and the start of the next one under its id.
	upgradeDown = 300 * time.Millisecond
	// firstBeat is the time from the start of a server to its first row: servers write about every beatInterval.
	firstBeat = beatInterval
	// firstPause and pauseStep spread the times after which clients come back: a client waits for firstPause and a number of steps.
	firstPause, pauseStep = 200 * time.Millisecond, 40 * time.Millisecond
	// freeMixed is the number of streams of two versions that the rule allows.
	freeMixed = 2
)

// order judges rule ORDER: the only server of a service is upgraded in place while streams run.
func order(c *cluster, trouble bool) error {
	const entries = 3

	c.putConfig(7, route{
		prefix: "lohu930", kind: "streaming", service: "reservas", targetMs: 1000, timeoutMs: int(streamBudget.Milliseconds()), attempts: 2, resumable: true,
	})

	for range zones {
		if err := c.addModelServer(&modelServer{software: "v1", events: 20, interval: 30 * time.Millisecond}); err != nil {
			return err
		}
	}

	server := &plainServer{software: "v1", events: 150, interval: 60 * time.Millisecond}
	if err := c.addPlainServer(server); err != nil {
		return err
	}

	if err := c.startEntries(entries); err != nil {
		return err
	}

	if err := c.awaitReady(entries, 10*time.Second); err != nil {
		return err
	}

	time.Sleep(4 * time.Second)

	mixed := make([]bool, streams)
	opened := time.Now()

	var played sync.WaitGroup

	for i := range streams {
		played.Go(func() {
			versions := c.playStream(i, entries, opened)
			mixed[i] = len(versions) > 1
			c.record.add("verdict", "stream %d holds events of %s", i, strings.Join(versions, " and "))
		})
	}

	time.Sleep(time.Until(opened.Add(upgradeAfter)))

	if trouble {
		server.upgrade("v2")
	}

	played.Wait()

	count := 0

	for _, one := range mixed {
		if one {
			count++
		}
	}

	c.record.add("verdict", "%d of %d streams hold events of two versions", count, streams)

	if count <= freeMixed {
		return nil
	}

	return fmt.Errorf("%w: ORDER, %d streams hold events from servers of two software versions", errBroken, count)
}

// playStream has a client get a stream, and take it up where it breaks off. It returns the versions that its events name.
func (c *cluster) playStream(number, entries int, opened time.Time) []string {
	var versions []string

	wanted := request{method: "POST", path: "/lohu930/2f", body: streamBody(number), budget: streamBudget, lastEvent: -1}

	for try := range maxTries {
		wanted.budget = streamBudget - time.Since(opened)
		if wanted.budget <= 0 {
			break
		}

		got := c.send(context.Background(), (number+try)%entries, wanted)
		for _, version := range got.versions {
			if !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}

		if got.complete && got.status == 200 {
			break
		}

		if got.events > 0 {
			wanted.lastEvent = got.lastEvent
		}

		if wanted.resumes == "" && got.events > 0 {
			wanted.resumes = got.id
		}

		time.Sleep(max(got.retryAfter, firstPause+time.Duration(number)*pauseStep))
	}

	return versions
}

// upgrade ends the process of the server and starts one of another version under its id, which writes its row after firstBeat.
func (p *plainServer) upgrade(version string) {
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()
	p.cluster.record.add("server "+p.id, "ends for its upgrade")
	p.stop()
	time.Sleep(upgradeDown)

	p.mu.Lock()
	p.software, p.born = version, time.Now().UnixMilli()
	p.mu.Unlock()

	if err := p.serve(); err != nil {
		p.cluster.record.add("server "+p.id, "cannot start again: %v", err)
		return
	}

	p.cluster.record.add("server "+p.id, "has started again at version %s", version)

	time.AfterFunc(firstBeat, func() {
		p.mu.Lock()
		p.down = false
		p.mu.Unlock()
		p.write()
		p.cluster.record.add("server "+p.id, "has written its row")
	})
}
