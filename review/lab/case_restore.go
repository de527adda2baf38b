package main

import (
	"fmt"
	"syscall"
	"time"
)

// Times of restoredKey.
const (
	// copyAge is how old the copy is when the store goes away, and awayTime how long it is away. rewriteTime is how long after its return the operator and the servers have written again
	// what the copy lacks.
	copyAge     = 5 * time.Second
	awayTime    = time.Second
	rewriteTime = time.Second
	// restartTime is the delay after which the platform starts a process again.
	restartTime = 500 * time.Millisecond
)

// restoredKey has the store come back from a copy in which a key is still held that was taken away since, while the process of an entry is
// killed. A request with that key must not run.
func restoredKey(l *lab) (verdict, error) {
	const first, second = 10, 11

	server, err := l.addPlainServer(50, "occ-a")
	if err != nil {
		return verdict{}, err
	}

	l.store.put("op", "config", manifest(1, "key-a key-gone"))

	// An agent with its model server passes on to entries what others have read.
	if _, err := l.addModelServer(100, func(*modelServer) {}); err != nil {
		return verdict{}, err
	}

	for _, number := range []int{first, second} {
		if err := l.startEntry(number); err != nil {
			return verdict{}, err
		}
	}

	for _, number := range []int{first, second} {
		if err := l.awaitReady(number); err != nil {
			return verdict{}, err
		}
	}

	try := func(number int) answer {
		return send(l.rec, l.address(number, frontPort), attempt{method: "POST", path: "/reserve/floor", key: "key-gone", budget: time.Second})
	}

	time.Sleep(contactTime)
	try(first)

	saved := l.store.backup()
	time.Sleep(200 * time.Millisecond)

	later := manifest(4, "key-a")
	l.store.put("op", "config", later)

	confirmed := time.Now()
	l.rec.add("the store confirms manifest 4, which takes key-gone away")
	time.Sleep(revokeTime + 200*time.Millisecond)
	try(first)

	if l.trouble {
		if err := l.drill(saved, l.procs["entry-10"], confirmed); err != nil {
			return verdict{}, err
		}
	}

	back := time.Now()
	rewritten := !l.trouble
	ran := 0

	for time.Since(back) < 4*time.Second {
		if !rewritten && time.Since(back) > rewriteTime {
			l.store.put("op", "config", later)
			l.rec.add("the operator has written manifest 4 again")

			rewritten = true
		}

		for _, number := range []int{first, second} {
			got := try(number)
			if server.ran(got.id) > 0 && got.sentAt.Sub(confirmed) > revokeTime {
				ran++
				l.rec.add("CONFIG: %s ran for tenant %s, sent %.1f s after its key was taken away", got.id, server.tenants[got.id], got.sentAt.Sub(confirmed).Seconds())
			}
		}

		time.Sleep(50 * time.Millisecond)
	}

	return verdict{broken: ran > 0, text: fmt.Sprintf("%d requests ran that were sent over %s after their key was taken away", ran, revokeTime)}, nil
}

// drill takes the store away, has an entry killed and started again meanwhile, and brings the store back from a copy.
func (l *lab) drill(saved copyOf, killed *proc, confirmed time.Time) error {
	l.store.stop()
	l.rec.add("the store is away")
	l.stop(killed, syscall.SIGKILL)
	time.Sleep(restartTime)

	if err := l.launch(killed); err != nil {
		return err
	}

	time.Sleep(awayTime - restartTime)

	if err := l.store.restore(saved); err != nil {
		return err
	}

	l.rec.add("the store comes back from a copy made before manifest 4, %.1f s after its confirmation", time.Since(confirmed).Seconds())

	return nil
}
