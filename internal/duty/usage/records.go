package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// Replicas is the number of agents that keep the counts of an entry.
	Replicas = 3
	// maxProcesses is the number of processes of entries whose counts an agent keeps, and processTTL how long it keeps those of a process that
	// reports no more.
	maxProcesses = 512
	processTTL   = time.Minute
	// maxReported is the number of windows of a process that an agent keeps, and maxNameBytes the size of the longest name.
	maxReported  = 8
	maxNameBytes = 256
)

// Tally is what one process has counted in a window.
type Tally struct {
	Process string
	// Revision is that of the window; 0 if it is not known, as from processes of an earlier version.
	Revision int64
	Counts   Counts
}

// reported is what a process has reported.
type reported struct {
	at      time.Time
	windows []Window
}

// Records holds what entries have reported to an agent. It is safe for concurrent use, and the zero value is ready to use.
type Records struct {
	mu        sync.Mutex
	processes map[string]*reported
}

// Put records what a process has counted; it replaces what the process has reported for the same windows before.
func (r *Records) Put(now time.Time, process string, windows []Window) {
	if process == "" || len(process) > maxNameBytes {
		return
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.forget(now, process)

	found := r.processes[process]
	if found == nil {
		found = &reported{}
		r.processes[process] = found
	}

	found.at = now
	found.forgetFuture(windows)

	for _, window := range windows[:min(len(windows), maxReported)] {
		found.put(window)
	}
}

// forgetFuture removes the known windows that are later than all of those of a newer message: the entry's clock was ahead when it sent them.
func (r *reported) forgetFuture(windows []Window) {
	last, revision := int64(0), int64(0)
	for _, window := range windows {
		last, revision = max(last, window.Number), max(revision, window.Revision)
	}

	r.windows = slices.DeleteFunc(r.windows, func(known Window) bool { return known.Number > last && known.Revision < revision })
}

// put replaces a window unless a later revision of it is known, and keeps the latest windows.
func (r *reported) put(window Window) {
	window.Counts = bounded(window.Counts)
	at, known := slices.BinarySearchFunc(r.windows, window.Number, func(w Window, number int64) int { return cmp.Compare(w.Number, number) })

	if known {
		if window.Revision == 0 || window.Revision >= r.windows[at].Revision {
			r.windows[at] = window
		}

		return
	}

	r.windows = slices.Insert(r.windows, at, window)

	if excess := len(r.windows) - maxReported; excess > 0 {
		r.windows = slices.Delete(r.windows, 0, excess)
	}
}

// bounded returns the counts without those that cannot be true, and at most maxAccounts of them.
func bounded(counts Counts) Counts {
	kept := make(Counts, min(len(counts), maxAccounts))

	for account, n := range counts {
		if len(kept) < maxAccounts && n > 0 && len(account) <= maxNameBytes {
			kept[account] = n
		}
	}

	return kept
}

// forget removes the processes that report no more, and if there are too many the one that has been silent for longest, to make room for a
// process. The lock must be held.
func (r *Records) forget(now time.Time, process string) {
	if r.processes == nil {
		r.processes = map[string]*reported{}
	}

	oldest := ""

	for name, found := range r.processes {
		if now.Sub(found.at) > processTTL {
			delete(r.processes, name)
		} else if oldest == "" || found.at.Before(r.processes[oldest].at) {
			oldest = name
		}
	}

	if r.processes[process] == nil && len(r.processes) >= maxProcesses {
		delete(r.processes, oldest)
	}
}

// Get returns what processes have counted in a window.
func (r *Records) Get(number int64) []Tally {
	r.mu.Lock()
	defer r.mu.Unlock()

	var tallies []Tally

	for process, found := range r.processes {
		for _, window := range found.windows {
			if window.Number == number {
				tallies = append(tallies, Tally{Process: process, Revision: window.Revision, Counts: window.Counts})
			}
		}
	}

	return tallies
}

// Complete reports whether the answers of some agents have the counts of all entries: fewer have not answered than keep the counts of one entry.
func Complete(agents, answered int) bool {
	return agents == 0 || agents-answered < min(Replicas, agents)
}

// Sum adds up what all processes have counted, once for each process.
func Sum(tallies []Tally) Counts {
	total := Counts{}

	for _, tally := range Latest(tallies) {
		for account, n := range tally.Counts {
			total[account] += n
		}
	}

	return total
}

// Latest returns one tally for each process. Several agents may know the counts of one process: those of the highest revision are taken, also where
// they are lower than others. Of those of the same revision, as without one, the highest count of each client account is taken.
func Latest(tallies []Tally) []Tally {
	var latest []Tally

	position := map[string]int{}

	for _, tally := range tallies {
		at, known := position[tally.Process]

		switch {
		case !known:
			position[tally.Process] = len(latest)
			latest = append(latest, Tally{Process: tally.Process, Revision: tally.Revision, Counts: tally.Counts})
		case tally.Revision > latest[at].Revision:
			latest[at].Revision, latest[at].Counts = tally.Revision, tally.Counts
		case tally.Revision == latest[at].Revision:
			latest[at].Counts = highest(latest[at].Counts, tally.Counts)
		}
	}

	return latest
}

// highest returns the higher count of each client account.
func highest(a, b Counts) Counts {
	merged := make(Counts, max(len(a), len(b)))
	maps.Copy(merged, a)

	for account, n := range b {
		merged[account] = max(merged[account], n)
	}

	return merged
}
