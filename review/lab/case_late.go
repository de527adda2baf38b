package main

import (
	"fmt"
	"sync"
	"time"
)

// lateTime is how long after it was sent the order without an answer is carried out; the pages say 2 to 12 s.
const lateTime = 11500 * time.Millisecond

// lateOrder has one order to load an adapter get no answer, and its server crash at the same time. The order is carried out after the
// restart. No server may be ordered to load more adapters than it has places for.
func lateOrder(l *lab) (verdict, error) {
	const entry = 10

	var (
		mu   sync.Mutex
		late *order
		at   time.Time
	)

	extra := fmt.Sprintf("a%d", placesForAdapters+1)

	server, err := l.addModelServer(100, func(m *modelServer) {
		m.lateOrder = func(o order) bool {
			mu.Lock()
			defer mu.Unlock()

			if !l.trouble || late != nil || o.Operation != "load" || o.Adapter != extra {
				return false
			}

			late, at = &o, time.Now()
			l.rec.add("the order to load %s, expected %d, gets no answer", o.Adapter, *o.Expected)

			return true
		}
	})
	if err != nil {
		return verdict{}, err
	}

	l.store.put("op", "config", manifest(1, "key-a"))

	if err := l.startEntry(entry); err != nil {
		return verdict{}, err
	}

	if err := l.awaitReady(entry); err != nil {
		return verdict{}, err
	}

	time.Sleep(contactTime)

	ask := func(adapter string) answer {
		return send(l.rec, l.address(entry, frontPort), generation("/permit/"+adapter, adapter, "c0:210,51:140,e1:1000", 5*time.Second))
	}

	// The server gets to hold as many adapters as it has places for.
	for n := range placesForAdapters {
		ask(fmt.Sprintf("a%d", n+1))
	}

	// One more adapter is asked for: another one makes way, and the order to load this one gets no answer.
	go ask(extra)

	if !l.trouble {
		time.Sleep(2 * time.Second)
	}

	for end := time.Now().Add(3 * time.Second); l.trouble; time.Sleep(time.Millisecond) {
		mu.Lock()
		sent := late != nil
		mu.Unlock()

		if sent {
			break
		}

		if time.Now().After(end) {
			return verdict{}, fmt.Errorf("no order to load %s was sent", extra)
		}
	}

	if l.trouble {
		server.end("it crashes")

		time.AfterFunc(time.Until(at.Add(lateTime)), func() {
			l.rec.add("the order without an answer is carried out")
			status := server.carryOut(*late)
			l.rec.add("the order without an answer: %d", status)
		})
	}

	// The callers of the adapters that were there before come again.
	var (
		wait sync.WaitGroup
		stop = time.Now().Add(lateTime + 1500*time.Millisecond)
		cut  int
	)

	for n := range placesForAdapters {
		wait.Add(1)

		go func() {
			defer wait.Done()

			for time.Now().Before(stop) {
				got := ask(fmt.Sprintf("a%d", n+1))

				mu.Lock()
				if got.status == 200 && !got.whole {
					cut++
				}
				mu.Unlock()

				time.Sleep(300 * time.Millisecond)
			}
		}()
	}

	wait.Wait()

	return verdict{
		broken: server.overfull,
		text:   fmt.Sprintf("ordered to load more than its %d places hold: %t; %d answers were cut", placesForAdapters, server.overfull, cut),
	}, nil
}
