package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxUnseen is the number of crashes, each under another request, that quarantine a part on which no request is known to have run to
	// its end. maxSeen is that for a part that was sound before: other parts of the same requests are more likely the cause.
	maxUnseen = 3
	maxSeen   = 5
	// maxRepeats is the number of servers that one request, or the load of one adapter, may end before it is held: one more would leave a
	// service of three without servers.
	maxRepeats = 2
	// mergeWindow is the time within which crashes count as one: many servers end at once when a failure domain loses power.
	mergeWindow = 250 * time.Millisecond
	// firstHold is how long a part is held before one request with it is tried. It doubles with each crash under such a request, up to
	// maxHold.
	firstHold = time.Minute
	maxHold   = 16 * time.Minute
	// firstRepeatHold is firstHold for a request or an adapter. It is short, since two servers may have ended for another reason.
	firstRepeatHold = 5 * time.Second
	// holdJitter is the part of the time by which holds differ between entries, so that they do not try the part at the same time.
	holdJitter = 0.5
	// settleTime is how long after the quarantine of a part crashes under requests that were already on their way may follow.
	settleTime = 4 * time.Second
	// maxHolds is the number of subjects that are held at the same time, and maxTracked that of the crashes that are kept as evidence.
	maxHolds   = 256
	maxTracked = 256
)

// limit returns the number of crashes that put a subject into quarantine.
func (t *Tracker) limit(id string) int {
	_, seen := t.lastSound(id)

	switch {
	case KindOf(id) != Part:
		return maxRepeats
	case seen:
		return maxSeen
	default:
		return maxUnseen
	}
}

// prolong prolongs the holds of the subjects of a crash. A crash under a request that was on its way at the time of the quarantine does
// not prolong them.
func (t *Tracker) prolong(now time.Time, crash *trackedCrash) {
	for _, id := range crash.all {
		held, ok := t.holds[id]
		if !ok || crash.At.Sub(held.Since) <= settleTime {
			continue
		}

		held.Period = min(max(2*held.Period, firstHold), maxHold)
		held.Until = now.Add(t.jitter(held.Period))
		t.holds[id] = held
		t.version++
	}
}

// holdReached holds the subjects of the crash that have reached their limit, and returns them. If several of one kind
// have, only those with the most crashes are held, and of these those with the fewest suspects: requests with what ends a server are few
// among those that run there, since the first one ends it.
func (t *Tracker) holdReached(now time.Time, crash *trackedCrash) []string {
	most := map[Kind]*reached{Part: {}, Request: {}, Adapter: {}}

	for _, id := range crash.all {
		limit := t.limit(id)
		if len(t.naming[id]) < limit {
			continue
		}

		if count := t.count(id); count >= limit && !t.explained(crash, id) {
			most[KindOf(id)].add(id, count, t.suspects(id))
		}
	}

	held := slices.Concat(most[Part].subjects, most[Request].subjects, most[Adapter].subjects)

	for _, id := range held {
		period := firstPeriod(id)
		t.begin(Hold{Subject: id, Since: now, Until: now.Add(t.jitter(period)), Period: period})
	}

	return held
}

// reached holds the subjects with the most crashes, and of these those with the fewest suspects.
type reached struct {
	most, suspects int
	subjects       []string
}

func (r *reached) add(id string, count, suspects int) {
	better := cmp.Or(cmp.Compare(count, r.most), cmp.Compare(r.suspects, suspects))

	switch {
	case len(r.subjects) == 0 || better > 0:
		r.most, r.suspects, r.subjects = count, suspects, []string{id}
	case better == 0:
		r.subjects = append(r.subjects, id)
	}
}

// suspects returns the number of suspects with a subject in all crashes since it was last known to be sound.
func (t *Tracker) suspects(id string) int {
	since, _ := t.lastSound(id)
	count := 0

	for _, crash := range t.naming[id] {
		if !crash.At.After(since) {
			continue
		}

		for _, suspect := range crash.Suspects {
			if slices.Contains(suspect.Subjects, id) {
				count++
			}
		}
	}

	return count
}

// firstPeriod returns how long a subject is held before the first trial.
func firstPeriod(id string) time.Duration {
	if KindOf(id) == Part {
		return firstHold
	}

	return firstRepeatHold
}

// begin begins a hold.
func (t *Tracker) begin(hold Hold) {
	if t.holds == nil {
		t.holds = map[string]Hold{}
	}

	t.makeRoom()
	t.holds[hold.Subject] = hold
	t.version++
}

// Adopt begins a hold that another entry has begun, and reports whether it is new here. A part that was sound, and any other subject that
// was sound since, are held only if the crashes that are known here suffice.
func (t *Tracker) Adopt(hold Hold) bool {
	if _, held := t.holds[hold.Subject]; held {
		return false
	}

	at, sound := t.lastSound(hold.Subject)
	if sound && (KindOf(hold.Subject) == Part || at.After(hold.Since)) {
		return false
	}

	t.begin(hold)

	return true
}

// Holds returns the holds, and a number that changes whenever one begins or is prolonged.
func (t *Tracker) Holds() ([]Hold, int) {
	return slices.Collect(maps.Values(t.holds)), t.version
}

// makeRoom ends the hold whose trial is due first if there are maxHolds.
func (t *Tracker) makeRoom() {
	if len(t.holds) < maxHolds {
		return
	}

	first := ""

	for id, held := range t.holds {
		if first == "" || held.Until.Before(t.holds[first].Until) {
			first = id
		}
	}

	delete(t.holds, first)
}

// jitter prolongs a period by up to holdJitter of it.
func (t *Tracker) jitter(period time.Duration) time.Duration {
	return period + time.Duration(holdJitter*t.Random()*float64(period))
}
