package pick_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/route/pick"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func view(servers int, change func(n int, server *member.Server)) *member.View {
	var list []*member.Server

	for n := range servers {
		server := &member.Server{
			Name: "s" + strconv.Itoa(n), Domain: "d" + strconv.Itoa(n%3), Region: "r",
			Serves: []string{"model/base"}, Weight: 1, Breaker: &member.Breaker{},
		}

		if change != nil {
			change(n, server)
		}

		if server.Weight > 0 {
			list = append(list, server)
		}
	}

	return member.NewView(list)
}

func query(adapter string, tried ...string) pick.Query {
	return pick.Query{Capability: "model/base", HashKey: adapter, Adapter: adapter + "@1", Tried: tried, Now: now}
}

// Guards against a ranking in which the removal of a server moves adapters between the remaining ones.
func TestServerRemovalMovesOnlyItsAdapters(t *testing.T) {
	const adapters = 600

	before, after := &pick.Picker{}, &pick.Picker{}
	all := view(20, nil)
	remaining := view(20, func(n int, server *member.Server) {
		if n == 4 {
			server.Weight = 0
		}
	})
	moved := 0

	for n := range adapters {
		name := "adapter" + strconv.Itoa(n)
		previous, current := before.Pick(all, query(name)), after.Pick(remaining, query(name))

		if previous.Name == "s4" {
			moved++
		} else {
			assert.Equal(t, current.Name, previous.Name)
		}
	}

	assert.Assert(t, moved > adapters/40 && moved < adapters/10, "%d moved", moved)
}

// Guards against a server that returns to service and gets its full share of adapters at once.
func TestWeightScalesShareOfAdapters(t *testing.T) {
	const adapters = 3000

	picker, count := &pick.Picker{}, 0
	servers := view(10, func(n int, server *member.Server) {
		if n == 0 {
			server.Weight = 0.2
		}
	})

	for n := range adapters {
		if picker.Pick(servers, query("adapter"+strconv.Itoa(n))).Name == "s0" {
			count++
		}
	}

	// The expected share is 0.2 of 9.2.
	assert.Assert(t, count > 40 && count < 95, "%d", count)
}

// Guards against loading an adapter that is resident elsewhere, against queues at a full server, and against a hot adapter
// that is limited to the first candidates.
func TestSpilloverByResidencyAndLoad(t *testing.T) {
	picker, servers := &pick.Picker{}, view(40, nil)
	first := picker.Pick(servers, query("quotes")).Name
	second := picker.Pick(servers, query("quotes", first)).Name

	picker.Report(second, pick.Load{Limit: 2, ResidentSent: true, Resident: []string{"quotes@1"}}, now)
	assert.Equal(t, picker.Pick(servers, query("quotes")).Name, second, "the resident copy is preferred")

	picker.Report(second, pick.Load{Limit: 2, Running: 2}, now)
	assert.Equal(t, picker.Pick(servers, query("quotes")).Name, second, "a short queue costs less than a load")
	assert.Equal(t, picker.Pick(servers, query("quotes")).Name, first, "a full server is passed over")

	picker.Report(first, pick.Load{Limit: 2, Draining: true}, now)
	assert.Assert(t, picker.Pick(servers, query("quotes")).Name != first, "a draining server is passed over")

	used := map[string]bool{}

	for n := range 40 {
		picker.Report("s"+strconv.Itoa(n), pick.Load{Limit: 1}, now)
	}

	for range 45 {
		used[picker.Pick(servers, query("quotes")).Name] = true
	}

	assert.Equal(t, len(used), 40, "a hot adapter gets further candidates")
}

// Guards against a server that counts as full forever, because it receives no request whose response would update its load.
func TestOldLoadReportsExpire(t *testing.T) {
	picker, servers := &pick.Picker{}, view(5, nil)
	first := picker.Pick(servers, query("quotes")).Name
	picker.Report(first, pick.Load{Limit: 1, Running: 1}, now)

	later := query("quotes")
	later.Now = now.Add(3 * time.Second)
	assert.Equal(t, picker.Pick(servers, later).Name, first)
}

// Guards against many requests to a busy server between the expiry of its load report and its next response.
func TestExpiredReportAllowsOneProbe(t *testing.T) {
	picker, servers := &pick.Picker{}, view(5, nil)
	first := picker.Pick(servers, query("quotes")).Name
	picker.Report(first, pick.Load{Limit: 1, Running: 3}, now)

	later := query("quotes")
	later.Now = now.Add(3 * time.Second)
	assert.Equal(t, picker.Pick(servers, later).Name, first)
	assert.Assert(t, picker.Pick(servers, later).Name != first)
}

// Guards against requests to a server with an open breaker while others are available, and against no selection when the
// breakers of all servers are open.
func TestServersWithOpenBreakersComeLast(t *testing.T) {
	servers := view(3, nil)

	for name, policy := range map[string]pick.Policy{"spill": pick.Spillover{}, "rendezvous": pick.Rendezvous{}, "least": pick.LeastLoaded{}, "random": pick.Random{}} {
		t.Run(name, func(t *testing.T) {
			picker := &pick.Picker{Policy: policy}

			for n, server := range servers.Servers {
				server.Breaker.Succeeded()

				if n > 0 {
					server.Breaker.Failed(now)
				}
			}

			assert.Equal(t, picker.Pick(servers, query("quotes")).Name, "s0")
			assert.Assert(t, picker.Pick(servers, query("quotes", "s0")) != nil)
			assert.Assert(t, picker.Pick(servers, query("quotes", "s0", "s1", "s2")) == nil)
		})
	}
}

// Guards against a preference for the local failure domain that outweighs load.
func TestDomainBreaksTiesOnly(t *testing.T) {
	picker := &pick.Picker{Policy: pick.LeastLoaded{}, Domain: "d2", Region: "r"}
	servers := view(3, nil)

	for n := range 3 {
		picker.Report("s"+strconv.Itoa(n), pick.Load{Limit: 4, Running: 2}, now)
	}

	assert.Equal(t, picker.Pick(servers, query("quotes")).Name, "s2")
	assert.Assert(t, picker.Pick(servers, query("quotes")).Name != "s2", "s2 has more load now")
}

func BenchmarkPick880(b *testing.B) {
	for name, hot := range map[string]bool{"idle": false, "hot": true} {
		b.Run(name, func(b *testing.B) {
			picker, servers := &pick.Picker{}, view(880, nil)
			random := rand.New(rand.NewPCG(1, 2))
			queries := make([]pick.Query, 1000)

			for n := range queries {
				queries[n] = query("adapter" + strconv.Itoa(n))
				picker.Pick(servers, queries[n])
			}

			for n := range 880 {
				load := pick.Load{Limit: 1 << 30}
				if hot {
					load = pick.Load{Limit: 8, Running: 8}
				}

				picker.Report("s"+strconv.Itoa(n), load, now)
			}

			for n := range queries {
				picker.Pick(servers, queries[n])
			}

			b.ReportAllocs()

			for b.Loop() {
				picker.Pick(servers, queries[random.IntN(len(queries))])
			}
		})
	}
}
