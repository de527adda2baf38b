//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashPath is the path of the request that ends the server, and crashPeriod the time after which its caller sends it again.
	crashPath, crashPeriod = "/puxa403/5f", 5 * time.Second
	// crashCount is how often it is sent, and crashDown how long the server is down after each end.
	crashCount, crashDown = 14, 2 * time.Second
	// soundPeriod is the time between two requests of other callers.
	soundPeriod = 100 * time.Millisecond
	// freeCrashes and freeRetries are those of the rule.
	freeCrashes, freeRetries = 3, 3
)

// crash judges rule BUDGET for a request that ends the server which begins to run it: the only one of its service, which starts again under its id.
func crash(c *cluster, trouble bool) error {
	c.putConfig(7, route{prefix: "puxa403", kind: "non_idempotent", service: "reservas", targetMs: 150, timeoutMs: 800, attempts: 1})

	for range zones {
		if err := c.addModelServer(&modelServer{software: "v1", events: 20, interval: 30 * time.Millisecond}); err != nil {
			return err
		}
	}

	server := &plainServer{software: "v1"}
	server.answer = func(w http.ResponseWriter, r *http.Request) {
		if trouble && strings.HasPrefix(r.URL.Path, crashPath) {
			server.crash(r.Header.Get("Attempt-Id"))
			return
		}

		desk(w, r)
	}

	if err := c.addPlainServer(server); err != nil {
		return err
	}

	if err := c.startEntries(len(zones)); err != nil {
		return err
	}

	if err := c.awaitReady(len(zones), 10*time.Second); err != nil {
		return err
	}

	time.Sleep(3 * time.Second)

	ctx, end := context.WithCancel(context.Background())
	lost := c.callDesk(ctx)

	var sent sync.WaitGroup

	for i := range crashCount {
		sent.Go(func() {
			c.send(context.Background(), i%len(zones), request{method: http.MethodPost, path: crashPath, budget: deskBudget, lastEvent: -1})
		})
		time.Sleep(crashPeriod)
	}

	sent.Wait()
	end()

	return judgeCrash(c, server, <-lost)
}

// callDesk sends sound requests until the context ends, and then returns how many of them got 502 or no answer.
func (c *cluster) callDesk(ctx context.Context) <-chan int {
	result := make(chan int, 1)

	go func() {
		var (
			mu   sync.Mutex
			sent sync.WaitGroup
			lost int
		)

		for i := 0; ctx.Err() == nil; i++ {
			sent.Go(func() {
				got := c.send(context.Background(), i%len(zones), request{method: http.MethodPost, path: "/puxa403/2f", budget: deskBudget, lastEvent: -1})

				mu.Lock()
				defer mu.Unlock()

				if got.status == 0 || got.status == http.StatusBadGateway {
					lost++
				}
			})
			time.Sleep(soundPeriod)
		}

		sent.Wait()
		result <- lost
	}()

	return result
}

func judgeCrash(c *cluster, server *plainServer, lost int) error {
	server.mu.Lock()
	crashes := append([]time.Time(nil), server.crashes...)
	server.mu.Unlock()

	c.record.add("verdict", "the server was ended %d times; %d sound requests got no answer or 502", len(crashes), lost)

	if len(crashes) < freeCrashes {
		return nil
	}

	late := 0

	for _, at := range crashes {
		if at.After(crashes[freeCrashes-1].Add(contact)) {
			late++
		}
	}

	if late <= freeRetries {
		return nil
	}

	return fmt.Errorf("%w: BUDGET, the request reached the server %d times later than %s after the third end of the server", errBroken, late, contact)
}

// crash ends the server like a process that crashes, and starts it again under the same id.
func (p *plainServer) crash(request string) {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return
	}

	p.down = true
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	p.cluster.record.add("server "+p.id, "ended by %s", request)
	p.stop()

	time.AfterFunc(crashDown, func() {
		p.mu.Lock()
		p.down, p.born = false, time.Now().UnixMilli()
		p.mu.Unlock()

		if err := p.serve(); err != nil {
			p.cluster.record.add("server "+p.id, "cannot start again: %v", err)
			return
		}

		p.cluster.record.add("server "+p.id, "has started again")
		p.write()
	})
}
