//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// explainMs is the response-time goal of usage-explainer in demands/LATER.md, and explainTimeoutMs its time budget.
	explainMs, explainTimeoutMs = 2000, 30000
	// loadRate is the number of requests a second: three servers read 20 prompts of promptTokens in a second.
	loadRate     = 32
	promptTokens = 3000
	// loadTime is how long the load lasts before the change of the operator, and afterTime how long it goes on.
	loadTime, afterTime = 12 * time.Second, 9 * time.Second
	// evacuateBound and versionBound are the bounds evacuateMs and version_ms.
	evacuateBound, versionBound = 5 * time.Second, 5 * time.Second
)

// queueCluster starts three model servers, one in each zone, and two entries, with a streaming route of a response-time goal.
func queueCluster(c *cluster, targetMs int) error {
	c.putConfig(7, route{prefix: "lohu930", kind: "streaming", service: "asistente", targetMs: targetMs, timeoutMs: explainTimeoutMs, attempts: 1})

	for range zones {
		if err := c.addModelServer(&modelServer{software: "v1", events: 20, interval: 30 * time.Millisecond}); err != nil {
			return err
		}
	}

	if err := c.startEntries(2); err != nil {
		return err
	}

	if err := c.awaitReady(2, 10*time.Second); err != nil {
		return err
	}

	time.Sleep(3 * time.Second)

	return nil
}

// load sends requests at loadRate to both entries in turn, and calls change once after loadTime. It returns the answers when all requests have
// ended. The requests after the change go to the entries from first on.
func load(c *cluster, adapter string, first int, change func()) []answer {
	var (
		mu   sync.Mutex
		sent sync.WaitGroup
		got  []answer
	)

	ticker := time.NewTicker(time.Second / loadRate)
	defer ticker.Stop()

	count := int(float64(loadRate) * (loadTime + afterTime).Seconds())
	changeAt := int(float64(loadRate) * loadTime.Seconds())

	for i := range count {
		<-ticker.C

		if i == changeAt {
			change()
		}

		entry := i % 2
		if i >= changeAt {
			entry = max(entry, first)
		}

		sent.Go(func() {
			one := c.send(context.Background(), entry, request{
				method: "POST", path: "/lohu930/2f", adapter: adapter, tokens: promptTokens, prefix: fmt.Sprintf("5c1e%02x", i%5),
				budget: explainTimeoutMs * time.Millisecond, lastEvent: -1,
			})

			mu.Lock()
			defer mu.Unlock()

			got = append(got, one)
		})
	}

	sent.Wait()

	return got
}

// evacuate judges rule EVAC: a zone is evacuated under high load.
func evacuate(c *cluster, trouble bool) error {
	if err := queueCluster(c, explainMs); err != nil {
		return err
	}

	var confirmed time.Time

	load(c, "", 0, func() {
		if !trouble {
			return
		}

		c.store.Put("op", "evacuate/"+zones[2], map[string]any{})
		confirmed = time.Now()
		c.record.add("operator", "evacuation of %s confirmed", zones[2])
	})

	if confirmed.IsZero() {
		return nil
	}

	late := c.models[2].arrivedAfter(confirmed.Add(evacuateBound))
	if len(late) == 0 {
		return nil
	}

	return fmt.Errorf("%w: EVAC, %d requests reached server %s of the evacuated zone later than %s after the confirmation, the last one after %s",
		errBroken, len(late), c.models[2].id, evacuateBound, late[len(late)-1].arrived.Sub(confirmed).Round(time.Millisecond))
}

// version judges rule VERSION: a new version of an adapter is named under high load.
func version(c *cluster, trouble bool) error {
	const adapter = "a1"

	if err := queueCluster(c, explainMs); err != nil {
		return err
	}

	var confirmed time.Time

	load(c, adapter, 0, func() {
		if !trouble {
			return
		}

		for _, m := range c.models {
			m.announce(adapter, 2)
		}

		c.store.Put("op", "version/"+modelName+"."+adapter, map[string]any{"model": modelName, "adapter": adapter, "version": 2})
		confirmed = time.Now()
		c.record.add("operator", "version 2 of adapter %s confirmed", adapter)
	})

	if confirmed.IsZero() {
		return nil
	}

	var late []run

	for _, m := range c.models {
		for _, one := range m.allRuns() {
			if one.version < 2 && one.begun.After(confirmed.Add(versionBound)) {
				late = append(late, one)
			}
		}
	}

	if len(late) == 0 {
		return nil
	}

	last := late[0]
	for _, one := range late {
		if one.begun.After(last.begun) {
			last = one
		}
	}

	return fmt.Errorf("%w: VERSION, %d requests began on version 1 of the adapter later than %s after version 2 was confirmed, the last one after %s",
		errBroken, len(late), versionBound, last.begun.Sub(confirmed).Round(time.Millisecond))
}
