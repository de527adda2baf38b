package main

import (
	"fmt"
	"time"
)

// lostEvacuation has the store come back from a copy, and the operator evacuate a zone right after that. Later than evacuateTime after the
// confirmation, stretched by outerTime since the store was disturbed, no request may reach a server of the zone.
func lostEvacuation(l *lab) (verdict, error) {
	const (
		evacuateTime = 5 * time.Second
		outerTime    = 5 * time.Second
		watchTime    = 15 * time.Second
		// operatorDelay is how long after the return of the store the operator's call succeeds.
		operatorDelay = 100 * time.Millisecond
	)

	var servers []*plainServer

	for number, zone := range map[int]string{50: "occ-b", 51: "occ-a", 52: "occ-c"} {
		server, err := l.addPlainServer(number, zone)
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

	saved := l.store.backup()
	time.Sleep(copyAge)

	if l.trouble {
		l.store.stop()
		l.rec.add("the store is away")
		time.Sleep(awayTime)

		if err := l.store.restore(saved); err != nil {
			return verdict{}, err
		}

		l.rec.add("the store comes back from a copy that is %s old", copyAge+awayTime)
		time.Sleep(operatorDelay)
	}

	l.store.put("op", "evacuate/occ-a", map[string]any{})

	confirmed := time.Now()
	l.rec.add("the store confirms the evacuation of occ-a")

	ids := map[string]time.Duration{}

	for n := 0; time.Since(confirmed) < watchTime; n++ {
		after := time.Since(confirmed)
		got := send(l.rec, l.address(entries[n%2], frontPort), attempt{method: "GET", path: "/avail/saturday", key: "key-a", budget: time.Second})
		ids[got.id] = after

		time.Sleep(30 * time.Millisecond)
	}

	late, last := 0, time.Duration(0)

	for _, server := range servers {
		if server.zone != "occ-a" {
			continue
		}

		for id, after := range ids {
			if server.ran(id) > 0 && after > evacuateTime+outerTime {
				late++
				last = max(last, after)
				l.rec.add("EVAC: %s reached server %s, sent %.1f s after the confirmation", id, server.id(), after.Seconds())
			}
		}
	}

	return verdict{
		broken: late > 0,
		text:   fmt.Sprintf("%d requests reached a server of the zone later than %s after its evacuation, the last one after %.1f s", late, evacuateTime+outerTime, last.Seconds()),
	}, nil
}
