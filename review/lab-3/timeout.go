//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// routeTimeout is timeoutMs of the route, and clientBudget the time budget of its clients, as of family-faq.
	routeTimeout, clientBudget = 2 * time.Second, 8 * time.Second
	// firstEvent is the usual time to the first event, and slowFactor how many times as long a slow server works.
	firstEvent, slowFactor = 700 * time.Millisecond, 4
	// timeoutStreams is the number of requests, and answerSlack the time after routeTimeout in which an answer is due.
	timeoutStreams, answerSlack = 120, 500 * time.Millisecond
	// timeoutServers is the number of servers: one of them is less than the share of 0.15 that may turn slow.
	timeoutServers = 7
)

// timeout judges rule CONFIG for requests that are unanswered at the timeout of their route: one of seven servers turns slow.
func timeout(c *cluster, trouble bool) error {
	c.putConfig(7, route{prefix: "lohu930", kind: "streaming", service: "reservas", targetMs: 800, timeoutMs: int(routeTimeout.Milliseconds()), attempts: 1})

	for range zones {
		if err := c.addModelServer(&modelServer{software: "v1", events: 20, interval: 30 * time.Millisecond}); err != nil {
			return err
		}
	}

	for i := range timeoutServers {
		work := firstEvent
		if trouble && i == 0 {
			work *= slowFactor
		}

		if err := c.addPlainServer(&plainServer{software: "v1", answer: answerLater(work)}); err != nil {
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

	var (
		mu                   sync.Mutex
		sent                 sync.WaitGroup
		unanswered, noAnswer int
	)

	for i := range timeoutStreams {
		sent.Go(func() {
			got := c.send(context.Background(), i%2, request{method: http.MethodPost, path: "/lohu930/2f", budget: clientBudget, lastEvent: -1})

			mu.Lock()
			defer mu.Unlock()

			// An answer that came before the timeout, or began before it, is not counted.
			if got.headAt > 0 && got.headAt <= routeTimeout {
				return
			}

			unanswered++

			if got.status == 0 || got.headAt > routeTimeout+answerSlack {
				noAnswer++
			}
		})

		time.Sleep(100 * time.Millisecond)
	}

	sent.Wait()
	c.record.add("verdict", "%d of %d requests were unanswered after %s, %d of them had no answer %s later", unanswered, timeoutStreams, routeTimeout, noAnswer, answerSlack)

	if noAnswer*2 <= unanswered {
		return nil
	}

	return fmt.Errorf("%w: CONFIG, of %d requests that were unanswered at the timeout of their route, %d got no answer", errBroken, unanswered, noAnswer)
}

// answerLater returns a handler that sends its head at once, and the events of a stream after some work.
func answerLater(work time.Duration) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Response-Seal", "seal."+id)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Server-Load", "1,0,6")
		w.WriteHeader(http.StatusOK)

		control := http.NewResponseController(w)
		if control.Flush() != nil {
			return
		}

		select {
		case <-r.Context().Done():
			return
		case <-time.After(work):
		}

		for i := range 10 {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil || control.Flush() != nil {
				return
			}

			time.Sleep(30 * time.Millisecond)
		}
	}
}
