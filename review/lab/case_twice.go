package main

import (
	"fmt"
	"sync"
	"time"
)

// The disruptions of repeatedTurn. The site has srv_crash with for_s 2, and garble "extra late" with share 0.6, x 0.03 and for_s 5.
const (
	crashes    = 9
	downTime   = 2 * time.Second
	extraShare = 0.03
	extraTime  = 5 * time.Second
	// reserveRate is the number of reservations a second.
	reserveRate = 200
)

// repeatedTurn restarts a server now and then, each time under a new id, and has it send a few of its answers twice, the second time late.
// No reservation may run twice, and none that was answered 421 or 503 may have run.
func repeatedTurn(l *lab) (verdict, error) {
	const entry = 10

	var servers []*plainServer

	for number := 50; number < 53; number++ {
		server, err := l.addPlainServer(number, "occ-a")
		if err != nil {
			return verdict{}, err
		}

		server.extraShare = extraShare
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
		answers []answer
		mu      sync.Mutex
		wait    sync.WaitGroup
	)

	reserve := func() {
		defer wait.Done()

		got := send(l.rec, l.address(entry, frontPort), attempt{method: "POST", path: "/reserve/floor", key: "key-a", budget: time.Second, body: "saturday"})

		mu.Lock()
		defer mu.Unlock()

		answers = append(answers, got)
	}

	stop := make(chan struct{})

	wait.Add(1)

	go func() {
		defer wait.Done()

		tick := time.NewTicker(time.Second / reserveRate)
		defer tick.Stop()

		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				wait.Add(1)

				go reserve()
			}
		}
	}()

	for i := range crashes {
		server := servers[i%2]

		if !l.trouble {
			time.Sleep(downTime + extraTime)
			continue
		}

		server.crash()
		time.Sleep(downTime)
		server.setFaulty(true)

		if err := server.start(); err != nil {
			return verdict{}, err
		}

		time.Sleep(extraTime)
		server.setFaulty(false)
	}

	close(stop)
	wait.Wait()

	twice, promised := 0, 0

	for _, got := range answers {
		runs := 0
		for _, server := range servers {
			runs += server.ran(got.id)
		}

		if runs > 1 {
			twice++
			l.rec.add("TWICE: %s ran %d times", got.id, runs)
		}

		if runs > 0 && (got.status == 503 || got.status == 421) {
			promised++
			l.rec.add("REFUSED: %s was answered %d and ran %d times", got.id, got.status, runs)
		}
	}

	return verdict{
		broken: twice+promised > 0,
		text:   fmt.Sprintf("%d reservations; %d ran twice, %d were answered 421 or 503 and ran", len(answers), twice, promised),
	}, nil
}
