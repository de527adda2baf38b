package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryLimit is memoryMb of the settings of an entry.
const memoryLimit = 284

// endlessBytes has one model server send bytes that are no answer, without end, in the bodies of its answers. Requests that an entry has
// passed on to sound servers must get an answer: at most three may end with a closed channel.
func endlessBytes(l *lab) (verdict, error) {
	const (
		entry      = 10
		allowed    = 3
		faultyTime = 10 * time.Second
		channels   = 40
	)

	var (
		mu     sync.Mutex
		faulty bool
		plain  []*plainServer
	)

	for number := 100; number < 103; number++ {
		_, err := l.addModelServer(number, func(m *modelServer) {
			if number == 100 {
				m.endless = func() bool {
					mu.Lock()
					defer mu.Unlock()

					return faulty
				}
			}
		})
		if err != nil {
			return verdict{}, err
		}
	}

	for number := 50; number < 53; number++ {
		server, err := l.addPlainServer(number, "occ-a")
		if err != nil {
			return verdict{}, err
		}

		plain = append(plain, server)
	}

	l.store.put("op", "config", manifest(1, "key-a"))

	if err := l.startEntry(entry); err != nil {
		return verdict{}, err
	}

	if err := l.awaitReady(entry); err != nil {
		return verdict{}, err
	}

	time.Sleep(contactTime)

	stop := make(chan struct{})
	memory := l.enforceMemory(l.procs["entry-10"], stop)

	var (
		wait    sync.WaitGroup
		clients []*keptClient
	)

	for range channels {
		client := &keptClient{rec: l.rec, address: l.address(entry, frontPort), key: "key-a"}
		clients = append(clients, client)

		wait.Add(1)

		go func() {
			defer wait.Done()
			client.run(stop)
		}()
	}

	for began, n := time.Now(), 0; time.Since(began) < faultyTime+6*time.Second; n++ {
		mu.Lock()
		before := faulty
		faulty = l.trouble && time.Since(began) > 3*time.Second && time.Since(began) < 3*time.Second+faultyTime

		if faulty && !before {
			l.rec.add("server 100 turns faulty: its answers have no end")
		}
		mu.Unlock()

		wait.Add(1)

		go func() {
			defer wait.Done()
			send(l.rec, l.address(entry, frontPort), generation(fmt.Sprintf("/quote/%d", n), fmt.Sprintf("a%d", 1+n%12), fmt.Sprintf("c%d:210,5%d:140,e%d:1000", n%3, n%9, n), 5*time.Second))
		}()

		time.Sleep(30 * time.Millisecond)
	}

	close(stop)
	wait.Wait()

	watched := <-memory
	lost, answered := 0, 0

	for _, client := range clients {
		answered += client.answered

		for _, id := range client.cut {
			for _, server := range plain {
				if server.ran(id) > 0 {
					lost++
					l.rec.add("LOST: %s was passed on to server %s, and its channel ended without an answer", id, server.id())
				}
			}
		}
	}

	return verdict{
		broken: lost > allowed,
		text:   fmt.Sprintf("%d reservations that had been passed on to sound servers got no answer (%d are allowed), %d got one; the entry was killed %d times, its peak was %d MB of %d", lost, allowed, answered, watched.kills, watched.peak, memoryLimit),
	}, nil
}

// memoryWatch is what enforceMemory has seen.
type memoryWatch struct {
	kills, peak int
}

// enforceMemory does what the platform does: it kills a process that exceeds memoryLimit, and starts it again after a short delay.
func (l *lab) enforceMemory(p *proc, stop <-chan struct{}) <-chan memoryWatch {
	done := make(chan memoryWatch, 1)

	go func() {
		var seen memoryWatch

		for {
			select {
			case <-stop:
				done <- seen
				return
			case <-time.After(5 * time.Millisecond):
			}

			used := memoryOf(p.cmd.Process.Pid)
			seen.peak = max(seen.peak, used)

			if used <= memoryLimit {
				continue
			}

			seen.kills++
			l.rec.add("%s uses %d MB of %d and is killed", p.name, used, memoryLimit)
			l.stop(p, syscall.SIGKILL)
			time.Sleep(restartTime)

			if err := l.launch(p); err != nil {
				l.rec.add("%s could not be started: %v", p.name, err)
			}
		}
	}()

	return done
}

// memoryOf returns the resident memory of a process in MB, without that of files; 0 if it has ended.
func memoryOf(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}

	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}

	return 0
}
