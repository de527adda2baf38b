package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
)

// herd simulates entries that choose from states which are 80 to 300 ms old.
type herd struct {
	source *rand.Rand
	// entries and adapters are the numbers of entries and of adapters, which all servers hold.
	entries, adapters int
	// load is the share of the prefill speed of all servers that the requests need.
	load float64
	// rates are the prefill speeds of the servers in tokens per second, and backlogs what they have to prefill.
	rates    []float64
	backlogs []float64
	// views are the servers as each entry knows them, and nextReports when it hears of them again.
	views       [][]place.ModelServer
	nextReports [][]time.Duration
}

const (
	herdStep   = 5 * time.Millisecond
	herdTokens = 1460
)

func newHerd(entries, adapters int, load float64, rates []float64) *herd {
	h := &herd{source: rand.New(rand.NewPCG(7, 8)), entries: entries, adapters: adapters, load: load, rates: rates, backlogs: make([]float64, len(rates))}

	for range entries {
		view := make([]place.ModelServer, len(rates))
		for i := range view {
			view[i] = place.ModelServer{ID: fmt.Sprint("s", i), Residency: place.Present, Rate: rates[i], Slowness: 100}
		}

		h.views = append(h.views, view)
		h.nextReports = append(h.nextReports, make([]time.Duration, len(rates)))
	}

	return h
}

// run returns the times from the arrivals of requests to their first events, sorted, and the longest backlog of a server in time.
func (h *herd) run(length time.Duration) (times []time.Duration, longest time.Duration) {
	total := 0.0
	for _, rate := range h.rates {
		total += rate
	}

	perStep := h.load * total * herdStep.Seconds() / herdTokens
	due := 0.0

	for now := time.Duration(0); now < length; now += herdStep {
		for i, rate := range h.rates {
			h.backlogs[i] = max(h.backlogs[i]-rate*herdStep.Seconds(), 0)
		}

		h.report(now)

		for due += h.source.ExpFloat64() * perStep; due >= 1; due-- {
			took := h.send()
			times = append(times, took)
			longest = max(longest, took)
		}
	}

	slices.Sort(times)

	return times, longest
}

func (h *herd) report(now time.Duration) {
	for entry := range h.entries {
		for i := range h.rates {
			if now < h.nextReports[entry][i] {
				continue
			}

			h.nextReports[entry][i] = now + 80*time.Millisecond + time.Duration(h.source.IntN(220))*time.Millisecond
			h.views[entry][i].Backlog = int64(h.backlogs[i])
			h.views[entry][i].Sent = 0
		}
	}
}

func (h *herd) send() time.Duration {
	entry := h.source.IntN(h.entries)
	query := place.Query{Adapter: fmt.Sprint("m/a", h.source.IntN(h.adapters)), PromptTokens: herdTokens, Entries: h.entries}
	at, _ := place.Choose(query, h.views[entry])

	h.views[entry][at].Sent += herdTokens
	h.backlogs[at] += herdTokens

	return time.Duration(h.backlogs[at] / h.rates[at] * float64(time.Second))
}

func herdRates(servers int, rate func(i int) float64) []float64 {
	rates := make([]float64, servers)
	for i := range rates {
		rates[i] = rate(i)
	}

	return rates
}

// Guards against entries that all send to the one fastest server until they hear of its backlog.
func TestEntriesDoNotHerd(t *testing.T) {
	const objective = 800 * time.Millisecond

	cases := map[string]struct {
		entries, adapters int
		load              float64
		rates             []float64
	}{
		"one fast server": {entries: 8, adapters: 300, load: 0.5, rates: herdRates(12, func(i int) float64 {
			if i == 0 {
				return 60_000
			}

			return 15_000
		})},
		"a third slow for good": {entries: 8, adapters: 300, load: 0.6, rates: herdRates(44, func(i int) float64 {
			if i%3 == 0 {
				return 19_000 / 1.3
			}

			return 19_000
		})},
		"few adapters": {entries: 8, adapters: 3, load: 0.8, rates: herdRates(12, func(i int) float64 {
			if i == 0 {
				return 60_000
			}

			return 15_000
		})},
		"many entries": {entries: 30, adapters: 300, load: 0.6, rates: herdRates(44, func(i int) float64 {
			if i%3 == 0 {
				return 19_000 / 1.3
			}

			return 19_000
		})},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			times, longest := newHerd(c.entries, c.adapters, c.load, c.rates).run(30 * time.Second)
			t.Logf("mean %s, 95 in 100 %s, longest %s", mean(times), times[len(times)*95/100], longest)
			assert.Assert(t, times[len(times)*99/100] < objective)
		})
	}
}

func mean(times []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, took := range times {
		total += took
	}

	return total / time.Duration(len(times))
}
