package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Suspected reports whether a crash raises suspicion of a subject that was not sound since.
func (t *Tracker) Suspected(id string) bool {
	at, blamed := t.blamed[id]
	since, _ := t.lastSound(id)

	return blamed && at.After(since)
}

// trackedCrash is a crash with all subjects of its suspects, each once.
type trackedCrash struct {
	Crash
	all []string
}

// blame records the suspicion that a crash raises.
func (t *Tracker) blame(crash *trackedCrash) {
	if t.blamed == nil {
		t.blamed, t.naming = map[string]time.Time{}, map[string][]*trackedCrash{}
	}

	for _, id := range crash.all {
		t.naming[id] = append(t.naming[id], crash)

		if last, ok := t.blamed[id]; !ok || crash.At.After(last) {
			t.blamed[id] = crash.At
		}
	}
}

// count returns the number of crashes that speak against a subject since it was last known to be sound, without those that another held
// subject explains. Crashes under one part count only if they are under different requests.
func (t *Tracker) count(id string) int {
	since, _ := t.lastSound(id)
	counted := tally{repeats: KindOf(id) != Part}

	for _, crash := range inOrder(t.naming[id]) {
		if !crash.At.After(since) || t.explained(crash, id) {
			continue
		}

		if suspect, named := crash.find(id); named {
			counted.add(&crash.Crash, suspect)
		}
	}

	if counted.repeats {
		return counted.crashes
	}

	return min(counted.crashes, len(counted.requests))
}

// explained reports whether a held subject explains a crash, so that it does not speak against the given one. A held request or adapter
// does not explain it for parts: those of the request may be what ends the servers.
func (t *Tracker) explained(crash *trackedCrash, id string) bool {
	if len(t.holds) == 0 {
		return false
	}

	return slices.ContainsFunc(crash.all, func(other string) bool {
		_, held := t.holds[other]

		return held && (other == id || KindOf(other) == Part || KindOf(id) != Part)
	})
}

// inOrder returns the crashes, oldest first.
func inOrder(crashes []*trackedCrash) []*trackedCrash {
	return slices.SortedFunc(slices.Values(crashes), func(a, b *trackedCrash) int { return a.At.Compare(b.At) })
}

// dropOld drops crashes that are older than crashRetention, and the oldest one if there are maxTracked.
func (t *Tracker) dropOld(now time.Time) {
	for _, crash := range t.crashes {
		if now.Sub(crash.At) > crashRetention {
			t.forget(crash)
		}
	}

	if len(t.crashes) >= maxTracked {
		t.forget(inOrder(slices.Collect(maps.Values(t.crashes)))[0])
	}
}

// forget drops a crash.
func (t *Tracker) forget(crash *trackedCrash) {
	delete(t.crashes, crash.ID)

	for _, id := range crash.all {
		others := slices.DeleteFunc(t.naming[id], func(other *trackedCrash) bool { return other == crash })
		if len(others) == 0 {
			delete(t.naming, id)
			delete(t.blamed, id)

			continue
		}

		t.naming[id] = others
		t.blamed[id] = slices.MaxFunc(others, func(a, b *trackedCrash) int { return a.At.Compare(b.At) }).At
	}
}
