package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// crashingPart has one part of a prompt end each server that begins to write an answer on it. Later than contactTime after the fifth end,
// at most three more requests with the part may reach servers.
func crashingPart(l *lab) (verdict, error) {
	const allowed = 3

	var servers []*modelServer

	for number := 100; number < 106; number++ {
		server, err := l.addModelServer(number, func(m *modelServer) {
			if l.trouble {
				m.badPart = "bad0"
			}
		})
		if err != nil {
			return verdict{}, err
		}

		servers = append(servers, server)
	}

	l.store.put("op", "config", manifest(1, "key-a"))

	entries := []int{10, 11}

	for _, number := range entries {
		if err := l.startEntry(number); err != nil {
			return verdict{}, err
		}
	}

	for _, number := range entries {
		if err := l.awaitReady(number); err != nil {
			return verdict{}, err
		}
	}

	time.Sleep(contactTime)

	var (
		wait sync.WaitGroup
		mu   sync.Mutex
		// lost counts the sound requests whose answer had begun and was cut, by whether that was after the limit.
		lost  int
		sound int
		bad   = map[string]bool{}
	)

	for n := range 240 {
		entry := l.address(entries[n%2], frontPort)

		wait.Add(1)

		go func() {
			defer wait.Done()

			got := send(l.rec, entry, generation(fmt.Sprintf("/permit/%d", n), fmt.Sprintf("a%d", 1+n%8), fmt.Sprintf("c0:210,5%d:140,e%d:1000", n%3, n), 10*time.Second))

			mu.Lock()
			defer mu.Unlock()

			sound++

			if got.status == 200 && !got.whole {
				lost++
			}
		}()

		if n%4 == 0 {
			wait.Add(1)

			go func() {
				defer wait.Done()

				got := send(l.rec, entry, generation(fmt.Sprintf("/quote/%d", n), fmt.Sprintf("a%d", 1+n%8), fmt.Sprintf("c0:210,bad0:140,f%d:1000", n), 10*time.Second))

				mu.Lock()
				defer mu.Unlock()

				bad[got.id] = true
			}()
		}

		time.Sleep(250 * time.Millisecond)
	}

	wait.Wait()

	return judgePart(l, servers, allowed, fmt.Sprintf("%d of %d sound answers were cut", lost, sound)), nil
}

// judgePart counts the requests with the bad part that reached servers too late.
func judgePart(l *lab, servers []*modelServer, allowed int, note string) verdict {
	var ends []time.Time
	for _, server := range servers {
		ends = append(ends, server.ends...)
	}

	if len(ends) < 5 {
		return verdict{text: fmt.Sprintf("%d ends of servers; %s", len(ends), note)}
	}

	slices.SortFunc(ends, func(a, b time.Time) int { return a.Compare(b) })

	limit := ends[4].Add(contactTime)
	late := 0

	for _, server := range servers {
		for _, reached := range server.reached {
			if reached.part != "" && reached.at.After(limit) {
				late++
			}
		}
	}

	l.rec.add("the fifth end was at %.3f; %d servers ended in all", ends[4].Sub(l.rec.started).Seconds(), len(ends))

	return verdict{
		broken: late > allowed,
		text:   fmt.Sprintf("%d requests with the part reached servers later than %s after the fifth end (%d are allowed); %d ends; %s", late, contactTime, allowed, len(ends), note),
	}
}
