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

func servers() []place.ModelServer {
	engines := make([]place.ModelServer, 18)
	for i := range engines {
		engines[i] = place.ModelServer{ID: fmt.Sprintf("s%d", i), Domain: "d", IdleAdapterSlots: 17}
	}

	return engines
}

// Guards against entries that disagree on where an adapter that no server holds is to be loaded.
func TestHomeIsTheSameForEveryEntry(t *testing.T) {
	engines := servers()
	first, _ := place.Choose(place.Query{Adapter: "m/a1", Domain: "d"}, engines)

	rand.New(rand.NewPCG(1, 2)).Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })

	second, _ := place.Choose(place.Query{Adapter: "m/a1", Domain: "d"}, engines)
	assert.Assert(t, first >= 0)
	assert.Assert(t, engines[second].ID != "")

	again, _ := place.Choose(place.Query{Adapter: "m/a1", Domain: "d"}, servers())
	assert.Equal(t, servers()[again].ID, engines[second].ID)
}

// Guards the order of preference between the wait at a server that holds the adapter and a load elsewhere.
func TestChoose(t *testing.T) {
	cases := map[string]struct {
		first, second place.ModelServer
		want          int
	}{
		"held goes before absent": {
			first:  place.ModelServer{ID: "x", Residency: place.Present, Backlog: 2000},
			second: place.ModelServer{ID: "y", IdleAdapterSlots: 17},
			want:   0,
		},
		"long wait makes a copy": {
			first:  place.ModelServer{ID: "x", Residency: place.Present, Backlog: 20_000},
			second: place.ModelServer{ID: "y", IdleAdapterSlots: 17},
			want:   1,
		},
		"in transit goes before a second load": {
			first:  place.ModelServer{ID: "x", Residency: place.Loading},
			second: place.ModelServer{ID: "y", IdleAdapterSlots: 17},
			want:   0,
		},
		"crowded server is avoided": {
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

// Guards against a popular adapter that stays on one server: with the popularity of 3,000 adapters on 18 servers (Zipf,
// 1.2) at two fifths of their reading speed, every request must be read within the objective of 800 ms.
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
	engines := servers()
	held := make([]map[string]bool, len(engines))

	for i := range held {
		held[i] = map[string]bool{}
	}

	for range requests {
		name := fmt.Sprint("m/a", pick(source, weights, total))

		for i := range engines {
			// Ten milliseconds pass between two requests, in which a server reads 200 tokens.
			engines[i].Backlog = max(engines[i].Backlog-200, 0)
			engines[i].Residency = place.Absent

			if held[i][name] {
				engines[i].Residency = place.Present
			}
		}

		at, wait := place.Choose(place.Query{Adapter: name}, engines)
		assert.Assert(t, wait < objective, "a request waits %s", wait)

		held[at][name] = true
		engines[at].Backlog += tokens
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
		"none":               {want: -1},
		"own failure domain": {servers: []place.PlainServer{{ID: "x", Domain: "other", Slots: 6}, {ID: "y", Domain: "d", Slots: 6}}, want: 1},
		"less loaded":        {servers: []place.PlainServer{{ID: "x", Domain: "d", Slots: 6, OwnRequests: 3}, {ID: "y", Domain: "other", Slots: 6}}, want: 1},
		"others count too":   {servers: []place.PlainServer{{ID: "x", Domain: "d", Slots: 6, OtherRequests: 5}, {ID: "y", Domain: "d", Slots: 6, OwnRequests: 1}}, want: 1},
		"suspect":            {servers: []place.PlainServer{{ID: "x", Domain: "d", Slots: 6, Suspect: true}, {ID: "y", Domain: "d", Slots: 6, OwnRequests: 5}}, want: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, place.ChoosePlain("d", c.servers), c.want)
		})
	}
}
