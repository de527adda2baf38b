package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// plainBench simulates entries that send the requests of one plain service to servers with slots and a queue.
type plainBench struct {
	source  *rand.Rand
	entries []*plainLoads
	servers []*benchServer
	now     time.Time
}

// benchServer runs a request in serviceTime at the usual slowness.
type benchServer struct {
	id       string
	slowness int
	// silent is true if the server does not state its slowness.
	silent  bool
	running []benchRequest
	waiting []benchRequest
	served  int
}

type benchRequest struct {
	entry *plainLoads
	ends  time.Time
}

const (
	benchStep   = time.Millisecond
	benchSlots  = 6
	serviceTime = 100 * time.Millisecond
)

func newPlainBench(slowness ...int) *plainBench {
	b := &plainBench{source: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}

	for range 3 {
		b.entries = append(b.entries, &plainLoads{})
	}

	for i, percent := range slowness {
		b.servers = append(b.servers, &benchServer{id: fmt.Sprint("s", i), slowness: percent})
	}

	return b
}

// run lets requests arrive at the given rate for a time, and returns the number that each server has answered meanwhile.
func (b *plainBench) run(perSecond float64, length time.Duration) []int {
	for _, server := range b.servers {
		server.served = 0
	}

	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(benchStep) {
		for _, server := range b.servers {
			server.advance(b.now)
		}

		if b.source.Float64() < perSecond*benchStep.Seconds() {
			b.send()
		}
	}

	served := make([]int, len(b.servers))
	for i, server := range b.servers {
		served[i] = server.served
	}

	return served
}

func (b *plainBench) send() {
	entry := b.entries[b.source.IntN(len(b.entries))]
	candidates := make([]place.PlainServer, len(b.servers))
	order := b.source.Perm(len(b.servers))

	for i, at := range order {
		own, others, slowness := entry.load(b.now, b.servers[at].id)
		candidates[i] = place.PlainServer{ID: b.servers[at].id, Slots: benchSlots, OwnRequests: own, OtherRequests: others, Slowness: slowness}
	}

	server := b.servers[order[place.ChoosePlain("", candidates)]]
	entry.begin(server.id)
	server.waiting = append(server.waiting, benchRequest{entry: entry})
	server.advance(b.now)
}

// advance answers the requests that have ended, and starts those for which there are slots.
func (s *benchServer) advance(now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(request benchRequest) bool {
		if request.ends.After(now) {
			return false
		}

		load := upstream.Load{Running: len(s.running) - 1, Waiting: len(s.waiting), Slots: benchSlots, Slowness: s.slowness}
		if s.silent {
			load.Slowness = 0
		}

		request.entry.report(now, s.id, load)
		request.entry.end(s.id)

		s.served++

		return true
	})

	for len(s.waiting) > 0 && len(s.running) < benchSlots {
		request := s.waiting[0]
		request.ends = now.Add(serviceTime * time.Duration(s.slowness) / 100)
		s.waiting = s.waiting[1:]
		s.running = append(s.running, request)
	}
}

func share(served []int, at int) float64 {
	total := 0
	for _, count := range served {
		total += count
	}

	return float64(served[at]) / float64(total)
}

// Guards against a slow server of a plain service that gets as many requests as the others while it has slots left, and against one that is left
// out when the others are busy. Of the speed of all three servers, the slow one has a seventh.
func TestSlowPlainServerGetsItsShare(t *testing.T) {
	const (
		// fullLoad is the number of requests that the servers can run in a second.
		fullLoad   = benchSlots * 10 * (1 + 1 + 1.0/3)
		speedShare = 1.0 / 7
	)

	cases := map[string]struct {
		load        float64
		silent      bool
		least, most float64
	}{
		"light load":              {load: 0.15, most: speedShare * 1.2},
		"medium load":             {load: 0.5, least: speedShare / 7, most: speedShare * 1.2},
		"heavy load":              {load: 0.95, least: speedShare / 2, most: speedShare * 1.2},
		"light load, not stated":  {load: 0.15, silent: true, least: speedShare, most: 0.5},
		"medium load, not stated": {load: 0.5, silent: true, least: speedShare, most: 0.5},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newPlainBench(100, 300, 100)
			b.servers[1].silent = c.silent

			got := share(b.run(fullLoad*c.load, time.Minute), 1)
			t.Logf("the slow server gets %.3f of the requests", got)
			assert.Assert(t, got >= c.least && got <= c.most, "%.3f, want %.3f to %.3f", got, c.least, c.most)
		})
	}
}

// Guards against a server that was slow for a while and gets no request any more, with which it could state that it is well.
func TestPlainServerIsUsedAgain(t *testing.T) {
	cases := map[string]float64{"light load": 20, "medium load": 70}

	for name, perSecond := range cases {
		t.Run(name, func(t *testing.T) {
			b := newPlainBench(100, 300, 100)
			b.run(perSecond, 10*time.Second)

			b.servers[1].slowness = 100
			b.run(perSecond, 2*time.Second)

			got := share(b.run(perSecond, 5*time.Second), 1)
			assert.Assert(t, got > 0.25, "the server gets %.3f of the requests once it is well", got)
		})
	}
}

// Guards against memory that grows with each server that was ever listed.
func TestLoadsOfUnlistedServersAreDropped(t *testing.T) {
	var loads plainLoads

	loads.begin("busy")
	loads.begin("gone")
	loads.end("gone")
	loads.retain(func(string) bool { return false })

	assert.Equal(t, len(loads.loads), 1)
	loads.end("busy")
}
