package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
)

func modelServers() []place.ModelServer {
	servers := make([]place.ModelServer, 18)
	for i := range servers {
		servers[i] = place.ModelServer{ID: fmt.Sprintf("s%d", i), Domain: "d", IdleAdapterSlots: 17}
	}

	return servers
}

// Guards against entries that load the same adapter at different servers.
func TestPreferredServerIsTheSameForEveryEntry(t *testing.T) {
	servers := modelServers()
	first, _ := place.Choose(place.Query{Adapter: "m/a1", Domain: "d"}, servers)

	rand.New(rand.NewPCG(1, 2)).Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })

	second, _ := place.Choose(place.Query{Adapter: "m/a1", Domain: "d"}, servers)
	assert.Assert(t, first >= 0)
	assert.Assert(t, servers[second].ID != "")

	again, _ := place.Choose(place.Query{Adapter: "m/a1", Domain: "d"}, modelServers())
	assert.Equal(t, modelServers()[again].ID, servers[second].ID)
}

// Guards the preference between waiting at a server that holds the adapter and loading it at another one.
func TestChoose(t *testing.T) {
	cases := map[string]struct {
		first, second place.ModelServer
		want          int
	}{
		"held is preferred to absent": {
			first:  place.ModelServer{ID: "x", Residency: place.Present, Backlog: 2000},
			second: place.ModelServer{ID: "y", IdleAdapterSlots: 17},
			want:   0,
		},
		"long wait causes a second load": {
			first:  place.ModelServer{ID: "x", Residency: place.Present, Backlog: 20_000},
			second: place.ModelServer{ID: "y", IdleAdapterSlots: 17},
			want:   1,
		},
		"load in progress is preferred to a second load": {
			first:  place.ModelServer{ID: "x", Residency: place.Loading},
			second: place.ModelServer{ID: "y", IdleAdapterSlots: 17},
			want:   0,
		},
		"server without an idle slot is avoided": {
			first:  place.ModelServer{ID: "x", IdleAdapterSlots: 0},
			second: place.ModelServer{ID: "y", IdleAdapterSlots: 1},
			want:   1,
		},
		"suspect server is avoided": {
			first:  place.ModelServer{ID: "x", Residency: place.Present, Suspect: true},
			second: place.ModelServer{ID: "y", IdleAdapterSlots: 17},
			want:   1,
		},
		"less loaded of two": {
			first:  place.ModelServer{ID: "x", Residency: place.Present, Backlog: 3000},
			second: place.ModelServer{ID: "y", Residency: place.Present, Backlog: 1000},
			want:   1,
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, _ := place.Choose(place.Query{Adapter: "m/a1"}, []place.ModelServer{c.first, c.second})
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against a popular adapter that stays on one server: with 3,000 adapters of Zipf popularity (1.2) on 18 servers at two
// fifths of their prefill speed, the expected wait of every request must be below the objective of 800 ms.
func TestSkewedPopularityIsSpread(t *testing.T) {
	const (
		requests  = 20_000
		adapters  = 3000
		exponent  = 1.2
		tokens    = 1460
		objective = 800 * time.Millisecond
	)

	weights := make([]float64, adapters)
	total := 0.0

	for i := range weights {
		total += 1 / math.Pow(float64(i+1), exponent)
		weights[i] = total
	}

	source := rand.New(rand.NewPCG(3, 4))
	servers := modelServers()
	held := make([]map[string]bool, len(servers))

	for i := range held {
		held[i] = map[string]bool{}
	}

	for range requests {
		name := fmt.Sprint("m/a", pick(source, weights, total))

		for i := range servers {
			// Requests arrive every 10 ms, in which a server prefills 200 tokens.
			servers[i].Backlog = max(servers[i].Backlog-200, 0)
			servers[i].Residency = place.Absent

			if held[i][name] {
				servers[i].Residency = place.Present
			}
		}

		at, wait := place.Choose(place.Query{Adapter: name}, servers)
		assert.Assert(t, wait < objective, "a request waits %s", wait)

		held[at][name] = true
		servers[at].Backlog += tokens
	}
}

func pick(source *rand.Rand, weights []float64, total float64) int {
	at := source.Float64() * total

	for i, weight := range weights {
		if at < weight {
			return i
		}
	}

	return len(weights) - 1
}

// Guards against a plain service whose requests all go to one server.
func TestChoosePlain(t *testing.T) {
	cases := map[string]struct {
		servers []place.PlainServer
		want    int
	}{
		"none":                    {want: -1},
		"own failure domain":      {servers: []place.PlainServer{{ID: "x", Domain: "other", Slots: 6}, {ID: "y", Domain: "d", Slots: 6}}, want: 1},
		"less loaded":             {servers: []place.PlainServer{{ID: "x", Domain: "d", Slots: 6, OwnRequests: 3}, {ID: "y", Domain: "other", Slots: 6}}, want: 1},
		"load from other entries": {servers: []place.PlainServer{{ID: "x", Domain: "d", Slots: 6, OtherRequests: 5}, {ID: "y", Domain: "d", Slots: 6, OwnRequests: 1}}, want: 1},
		"slow":                    {servers: []place.PlainServer{{ID: "x", Domain: "d", Slots: 6, Slowness: 300}, {ID: "y", Domain: "d", Slots: 6, OwnRequests: 1}}, want: 1},
		"slow and idle":           {servers: []place.PlainServer{{ID: "x", Domain: "d", Slots: 6, Slowness: 300}, {ID: "y", Domain: "d", Slots: 6, OwnRequests: 3}}, want: 0},
		"slowness not known":      {servers: []place.PlainServer{{ID: "x", Domain: "d", Slots: 6, Slowness: 101}, {ID: "y", Domain: "d", Slots: 6}}, want: 1},
		"suspect":                 {servers: []place.PlainServer{{ID: "x", Domain: "d", Slots: 6, Suspect: true}, {ID: "y", Domain: "d", Slots: 6, OwnRequests: 5}}, want: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, place.ChoosePlain("d", c.servers), c.want)
		})
	}
}

// BenchmarkChoosePlain measures one choice by the number of servers of a plain service.
func BenchmarkChoosePlain(b *testing.B) {
	for _, count := range []int{18, 120, 880} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			servers := make([]place.PlainServer, count)
			for i := range servers {
				servers[i] = place.PlainServer{ID: fmt.Sprintf("i-%08x", i), Domain: "d", Slots: 6, OwnRequests: i % 5, Slowness: 100 + i%3}
			}

			for b.Loop() {
				place.ChoosePlain("d", servers)
			}
		})
	}
}

// BenchmarkChoose measures one choice by the number of model servers.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{18, 120, 880} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			servers := make([]place.ModelServer, count)
			for i := range servers {
				servers[i] = place.ModelServer{ID: fmt.Sprintf("i-%08x", i), Domain: "d", IdleAdapterSlots: 11}
			}

			for b.Loop() {
				place.Choose(place.Query{Adapter: "m/a1", Domain: "d"}, servers)
			}
		})
	}
}
