package main

import (
	"fmt"
	"sync"
	"time"
)

// leavingQueue has a busy server leave without having reported that it drains: its entry is removed, and it serves on for a while. Later
// than drainTime after that, no request may reach it.
func leavingQueue(l *lab) (verdict, error) {
	const entry = 10

	var servers []*modelServer

	for number := 100; number < 102; number++ {
		server, err := l.addModelServer(number, func(m *modelServer) {
			m.prefill, m.downTime = 90*time.Millisecond, 0
			m.events = 57
		})
		if err != nil {
			return verdict{}, err
		}

		servers = append(servers, server)
	}

	l.store.put("op", "config", manifest(1, "key-a"))

	if err := l.startEntry(entry); err != nil {
		return verdict{}, err
	}

	if err := l.awaitReady(entry); err != nil {
		return verdict{}, err
	}

	time.Sleep(contactTime)

	var (
		wait sync.WaitGroup
		mu   sync.Mutex
		gone time.Time
		cut  = map[string]bool{}
	)

	for n := range 400 {
		wait.Add(1)

		go func() {
			defer wait.Done()

			got := send(l.rec, l.address(entry, frontPort), generation(fmt.Sprintf("/permit/%d", n), "", fmt.Sprintf("c0:210,5%d:140,e%d:1000", n%3, n), 12*time.Second))

			mu.Lock()
			defer mu.Unlock()

			if got.status == 200 && !got.whole {
				cut[got.id] = true
			}
		}()

		if n == 240 && l.trouble {
			l.store.remove("servers", servers[0].id())

			gone = time.Now()
			l.rec.add("the entry of server %s is removed: it leaves", servers[0].id())
			time.AfterFunc(drainTime+time.Second, func() { servers[0].end("it has left") })
		}

		time.Sleep(25 * time.Millisecond)
	}

	wait.Wait()

	if gone.IsZero() {
		return verdict{text: "no server has left"}, nil
	}

	late, lost, last := 0, 0, time.Duration(0)

	for _, reached := range servers[0].reached {
		if after := reached.at.Sub(gone); after > drainTime {
			late++
			last = max(last, after)

			if cut[reached.id] {
				lost++
			}

			l.rec.add("DRAIN: %s reached the server %.2f s after its entry was removed", reached.id, after.Seconds())
		}
	}

	return verdict{
		broken: late > 0,
		text:   fmt.Sprintf("%d requests reached the server later than %s after its entry was removed, the last one after %.2f s; %d of their answers were cut", late, drainTime, last.Seconds(), lost),
	}, nil
}
