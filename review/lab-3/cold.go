//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// deskRate is the number of requests a second for the desk in grown/LATER.md: reserve and avail together. Of ten, three are avail.
	deskRate, deskAvail = 100, 3
	// deskWork is how long the work of such a request takes there, and deskBudget its time budget.
	deskWork, deskBudget = 30 * time.Millisecond, 1500 * time.Millisecond
	// downAt is when a server goes down, downTime for how long, and coldTime how long it is cold after that.
	downAt, downTime, coldTime = 4 * time.Second, 4500 * time.Millisecond, 3 * time.Second
	// coldPerS, coldOverage and coldSlack are those of the manifest and of the settings.
	coldPerS, coldOverage, coldSlack = 12, 1.5, 5
)

// cold judges rule FAILBACK for a service without an engine: one of its servers goes down and comes back cold.
func cold(c *cluster, trouble bool) error {
	c.coldDesk = true
	c.putConfig(7,
		route{prefix: "puxa403", kind: "non_idempotent", service: "reservas", targetMs: 150, timeoutMs: 800, attempts: 1},
		route{prefix: "cufi504", kind: "idempotent", service: "reservas", targetMs: 150, timeoutMs: 800, attempts: 2},
	)

	for range zones {
		if err := c.addModelServer(&modelServer{software: "v1", events: 20, interval: 30 * time.Millisecond}); err != nil {
			return err
		}

		if err := c.addPlainServer(&plainServer{software: "v1", answer: desk}); err != nil {
			return err
		}
	}

	if err := c.startEntries(len(zones)); err != nil {
		return err
	}

	if err := c.awaitReady(len(zones), 10*time.Second); err != nil {
		return err
	}

	time.Sleep(3 * time.Second)

	sentAt := map[string]time.Time{}
	server := c.plains[2]

	var (
		mu   sync.Mutex
		sent sync.WaitGroup
		back time.Time
	)

	opened := time.Now()

	sent.Go(func() {
		time.Sleep(downAt)

		if trouble {
			back = server.comeBackCold()
		}
	})

	ticker := time.NewTicker(time.Second / deskRate)
	defer ticker.Stop()

	for i := 0; time.Since(opened) < downAt+downTime+coldTime+2*time.Second; i++ {
		<-ticker.C

		wanted := request{method: http.MethodPost, path: "/puxa403/2f", budget: deskBudget, lastEvent: -1}
		if i%10 < deskAvail {
			wanted.method, wanted.path = http.MethodGet, "/cufi504/2f"
		}

		sent.Go(func() {
			at := time.Now()
			got := c.send(context.Background(), i%len(zones), wanted)

			mu.Lock()
			defer mu.Unlock()

			sentAt[got.id] = at
		})
	}

	sent.Wait()

	if back.IsZero() {
		return nil
	}

	return judgeCold(c, server, back, sentAt)
}

// judgeCold finds the second in which a cold server got most requests that were sent and arrived inside it.
func judgeCold(c *cluster, server *plainServer, back time.Time, sentAt map[string]time.Time) error {
	arrived := server.arrivedBetween(back, back.Add(coldTime))
	slices.SortFunc(arrived, func(a, b run) int { return a.arrived.Compare(b.arrived) })

	most := 0

	for _, last := range arrived {
		from, count := last.arrived.Add(-time.Second), 0

		for _, one := range arrived {
			if !one.arrived.After(last.arrived) && sentAt[one.id].After(from) {
				count++
			}
		}

		most = max(most, count)
	}

	bound := coldPerS*coldOverage + coldSlack
	c.record.add("verdict", "server %s got %d requests while it was cold, at most %d in one second; the bound is %.0f", server.id, len(arrived), most, bound)

	if float64(most) <= bound {
		return nil
	}

	return fmt.Errorf("%w: FAILBACK, cold server %s got %d requests in one second, the bound is %.0f", errBroken, server.id, most, bound)
}

// desk answers a request of the desk.
func desk(w http.ResponseWriter, r *http.Request) {
	time.Sleep(deskWork)

	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header().Set("Server-Load", "1,0,6")
	_, _ = w.Write([]byte("done " + id))
}

// comeBackCold ends the server, and starts it again under another id after downTime. It returns when the server is back.
func (p *plainServer) comeBackCold() time.Time {
	p.cluster.record.add("server "+p.id, "down")
	p.stop()

	p.mu.Lock()
	old := p.id
	p.down = true
	p.mu.Unlock()

	// An entry is removed after three ping intervals of silence.
	time.Sleep(3 * beatInterval)
	p.cluster.store.Remove("servers", old)
	time.Sleep(downTime - 3*beatInterval)

	p.mu.Lock()
	p.id, p.down, p.born = old+"b", false, time.Now().UnixMilli()
	p.coldUntil = time.Now().Add(coldTime)
	p.mu.Unlock()

	if err := p.serve(); err != nil {
		p.cluster.record.add("server "+p.id, "cannot come back: %v", err)
		return time.Time{}
	}

	at := time.Now()
	p.cluster.record.add("server "+p.id, "back, and cold for %s", coldTime)
	p.write()

	return at
}
