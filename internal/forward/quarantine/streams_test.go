package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
)

const (
	// downTime is how long a server that has ended is gone.
	downTime = 2 * time.Second
	// mostSoundHeld is the part of the sound requests that may be refused after the fifth crash: LOST allows half of them.
	mostSoundHeld = 0.5
)

// stream is a request under way at a server.
type stream struct {
	id      string
	parts   []string
	tracker *quarantine.Tracker
	sentAt  time.Time
	// endsAt is when its response is complete, or when it ends its server.
	endsAt time.Time
	bad    bool
}

// fleetHistory is a random history in which requests take time, and each end of a server breaks off all that are under way there.
type fleetHistory struct {
	history
	// servers holds what is under way at each server, and backAt when one that has ended is back.
	servers [][]stream
	backAt  []time.Time
	// longest is the longest time of a request.
	longest time.Duration
	// sound and refused count the sound requests after the fifth crash.
	sound, refused int
}

// begin sends a request to a random server unless its entry refuses it.
func (f *fleetHistory) begin(id string, bad bool, parts []string) {
	tracker := f.trackers[f.rand.IntN(len(f.trackers))]
	late := !f.fifthAt.IsZero() && f.now.Sub(f.fifthAt) > contact

	_, refused, _ := tracker.Admit(f.now, parts)

	if late && !bad {
		f.sound++

		if refused {
			f.refused++
		}
	}

	server := f.rand.IntN(len(f.servers))
	if refused || f.now.Before(f.backAt[server]) {
		return
	}

	if late && bad {
		f.arrivals++
	}

	took := time.Duration(f.rand.Int64N(int64(f.longest)))
	f.servers[server] = append(f.servers[server], stream{id: id, parts: parts, tracker: tracker, sentAt: f.now, endsAt: f.now.Add(took), bad: bad})
}

// advance completes the requests that are due, or ends their servers.
func (f *fleetHistory) advance() {
	for server, running := range f.servers {
		due := func(s stream) bool { return !f.now.Before(s.endsAt) }

		if slices.ContainsFunc(running, func(s stream) bool { return s.bad && due(s) }) {
			f.end(server)
			continue
		}

		for _, s := range running {
			if due(s) {
				f.complete(s)
			}
		}

		f.servers[server] = slices.DeleteFunc(running, due)
	}
}

func (f *fleetHistory) complete(s stream) {
	news := slices.ContainsFunc(s.parts, s.tracker.Suspected) || len(s.tracker.KnownSound(s.parts)) < len(s.parts)
	s.tracker.RecordSound(f.now, s.parts)

	if news && s.tracker.HasEvidence() {
		f.spread(nil, s.tracker.KnownSound(s.parts))
	}
}

// end ends a server under all its requests.
func (f *fleetHistory) end(server int) {
	f.crashes++

	if f.crashes == fifth {
		f.fifthAt = f.now
	}

	crash := &quarantine.Crash{ID: fmt.Sprint(f.crashes), At: f.now}
	for _, s := range f.servers[server] {
		crash.Suspects = append(crash.Suspects, quarantine.Suspect{Request: s.id, SentAt: s.sentAt, Subjects: s.parts})
	}

	f.servers[server], f.backAt[server] = nil, f.now.Add(downTime)
	f.spread(crash, nil)
}

// Guards against a part that ends servers at any point of a response and is never held, and against sound parts that are held because
// requests with them were under way at the servers that ended.
func TestRandomHistoriesOfStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		f := &fleetHistory{history: history{t: t, rand: random, now: start}}

		for range rapid.IntRange(1, 8).Draw(t, "entries") {
			f.trackers = append(f.trackers, &quarantine.Tracker{Random: random.Float64})
		}

		f.servers = make([][]stream, rapid.IntRange(6, 20).Draw(t, "servers"))
		f.backAt = make([]time.Time, len(f.servers))
		f.longest = time.Duration(rapid.IntRange(100, 3000).Draw(t, "longest response in ms")) * time.Millisecond
		badShare := rapid.Float64Range(0.01, 0.1).Draw(t, "bad requests of each tick")
		soundShare := rapid.Float64Range(0.3, 3).Draw(t, "sound requests of each tick")
		badFrom := start.Add(10 * time.Second)

		for number := 0; f.now.Sub(start) < historyLength; number++ {
			f.now = f.now.Add(tick)
			f.deliver()
			f.advance()

			if f.now.After(badFrom) && random.Float64() < badShare {
				f.begin(fmt.Sprint("bad", number), true, []string{"all", f.soundPart(), "bad"})
			}

			for left := soundShare; random.Float64() < left; left-- {
				f.begin(fmt.Sprint("sound", number, left), false, []string{"all", f.soundPart()})
			}
		}

		assert.Check(t, f.arrivals <= mostArrivals, "%d arrivals after the fifth crash, %d crashes", f.arrivals, f.crashes)
		assert.Check(t, float64(f.refused) <= mostSoundHeld*float64(f.sound), "%d of %d sound requests refused, %d crashes", f.refused, f.sound, f.crashes)
	})
}
