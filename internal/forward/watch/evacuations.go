package watch

import (
	"maps"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
)

const (
	// doubtTime is how long an evacuation that comes back with a copy of the store, and that this process knows to have ended, has no
	// effect. The operator writes its end again by then; if the row is still there, it was written since the restore.
	doubtTime = 2 * time.Second
	// rewriteTime is how long an evacuation that the copy lacks stays in effect until the operator has written it again. Its end may
	// have been written before the first read after the restore, which shows no removed rows.
	rewriteTime = 30 * time.Second
)

// evacuations decides which failure domains are evacuated from what is read of the store.
type evacuations struct {
	// active holds the evacuations in effect, and those that may begin after doubtTime.
	active map[string]fleet.Evacuation
	seen   seenVersions
}

// list handles a read of the whole topic. If the store was restored since the previous read, what this process knows counts more than
// rows of the copy, and rows that were written since the restore count more than either.
func (e *evacuations) list(now time.Time, rows []EvacuationChanged, restored bool) {
	next := map[string]fleet.Evacuation{}

	for _, row := range rows {
		if row.Active {
			next[row.Domain] = e.listed(now, row, restored)
		}
	}

	for domain, known := range e.active {
		if _, ok := next[domain]; ok {
			continue
		}

		if restored && known.Until.IsZero() {
			known.Until = now.Add(rewriteTime)
		}

		if now.Before(known.Until) {
			next[domain] = known
		}
	}

	e.active = next

	for _, row := range rows {
		e.record(row)
	}
}

// listed returns the evacuation of a row of the whole topic.
func (e *evacuations) listed(now time.Time, row EvacuationChanged, restored bool) fleet.Evacuation {
	known, ok := e.active[row.Domain]

	switch {
	case ok && known.Active(now):
		return fleet.Evacuation{From: known.From}
	case restored && e.seen.has(row.Domain, row.Version):
		return fleet.Evacuation{From: now.Add(doubtTime)}
	case ok && e.seen.has(row.Domain, row.Version):
		return fleet.Evacuation{From: known.From}
	default:
		return fleet.Evacuation{From: now}
	}
}

// change handles a row that was written since the previous read.
func (e *evacuations) change(now time.Time, row EvacuationChanged) {
	next := maps.Clone(e.active)
	if next == nil {
		next = map[string]fleet.Evacuation{}
	}

	if row.Active {
		next[row.Domain] = fleet.Evacuation{From: now}
	} else {
		delete(next, row.Domain)
	}

	e.active = next

	e.record(row)
}

func (e *evacuations) record(row EvacuationChanged) {
	if e.seen == nil {
		e.seen = seenVersions{}
	}

	if row.Active {
		e.seen.record(row.Domain, row.Version)
	}
}

// describe returns the evacuated failure domains for the log: when each takes or took effect, and when it ends if it is not written again.
func (e *evacuations) describe(now time.Time) map[string]string {
	described := map[string]string{}

	for domain, evacuation := range e.active {
		text := "active"

		if wait := evacuation.From.Sub(now); wait > 0 {
			text = "outdated, active in " + wait.String() + " if it stays"
		}

		if !evacuation.Until.IsZero() {
			text += ", ends in " + evacuation.Until.Sub(now).String() + " unless it is written again"
		}

		described[domain] = text
	}

	return described
}
