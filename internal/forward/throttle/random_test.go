package throttle_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

const (
	step     = 10 * time.Millisecond
	rounds   = 3000
	window   = 4 * time.Second
	contact  = 3 * time.Second
	toldTime = 500 * time.Millisecond
)

// answer is on its way from the server to a sender.
type answer struct {
	sender int
	stated throttle.Statement
	at     time.Time
}

// history is what several senders with a common holder do with a server that names a limit for a while, with answers that cross or are
// lost.
type history struct {
	random *rand.Rand
	// demand is the chance that a sender has a request in one step, delay the longest way of an answer, and lost the share of answers
	// that are lost.
	demand, lost float64
	delay        time.Duration
	// limit is what the server names; from and until are the steps between which it does.
	limit       throttle.Limit
	from, until int

	holder  throttle.Holder
	known   []throttle.Limiter
	told    []time.Time
	answers []answer
	// arrivals holds when requests of senders that had been told for toldTime arrived.
	arrivals []time.Time
	// granted counts the requests that the holder granted from contact after the limit was named on, also those of senders that had not been
	// told by the server itself.
	granted int
	// free is true once a request was sent without asking the holder, and over once an answer to a request after the limit has arrived.
	free, over bool
}

func (h *history) run() {
	for i := range rounds {
		now := start.Add(time.Duration(i) * step)

		h.receive(now)

		for sender := range h.known {
			if h.random.Float64() < h.demand {
				h.send(now, sender, i >= h.from && i < h.until)
			}
		}
	}
}

func (h *history) receive(now time.Time) {
	slices.SortStableFunc(h.answers, func(a, b answer) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })

	for len(h.answers) > 0 && !h.answers[0].at.After(now) {
		got := h.answers[0]
		h.answers = h.answers[1:]

		if h.known[got.sender].Observe(now, got.stated) {
			h.holder.Adopt(now, got.stated)
		}

		h.over = h.over || !got.stated.At.Before(start.Add(time.Duration(h.until)*step))

		if got.stated.Limit.Named && h.told[got.sender].IsZero() {
			h.told[got.sender] = now
		}
	}
}

func (h *history) send(now time.Time, sender int, limited bool) {
	if newest := h.holder.Newest("s"); h.random.Float64() < 0.1 {
		h.known[sender].Adopt(now, newest)
	}

	if h.known[sender].Limited() {
		h.holder.Adopt(now, h.known[sender].Newest())
		h.known[sender].Adopt(now, h.holder.Newest("s"))

		if granted, _ := h.holder.Take(now, "s", 0); !granted {
			return
		}

		if limited && now.After(start.Add(time.Duration(h.from)*step+contact)) {
			h.granted++
		}
	} else if !limited {
		h.free = true
	}

	if limited && !h.told[sender].IsZero() && now.Sub(h.told[sender]) >= toldTime {
		h.arrivals = append(h.arrivals, now)
	}

	stated := throttle.Statement{Server: "s", At: now}
	if limited {
		stated.Limit = h.limit
	}

	if h.random.Float64() >= h.lost {
		h.answers = append(h.answers, answer{sender, stated, now.Add(time.Duration(h.random.Int64N(int64(h.delay))))})
	}
}

// most returns the largest number of counted arrivals in a window that ends later than contact after the limit was named.
func (h *history) most() int {
	most, first := 0, 0
	binds := start.Add(time.Duration(h.from)*step + contact)

	for i, at := range h.arrivals {
		for at.Sub(h.arrivals[first]) > window {
			first++
		}

		if at.After(binds) {
			most = max(most, i+1-first)
		}
	}

	return most
}

// Guards against senders that together send more than one and a half times what a server has named and five requests in 4 s, that leave
// more than a quarter of it unused while they have requests, or that do not learn of the end of a limit.
func TestLimitIsKeptAndUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 12).Draw(t, "rate")
		h := &history{
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			demand: rapid.Float64Range(0.02, 0.3).Draw(t, "demand"),
			lost:   rapid.Float64Range(0, 0.5).Draw(t, "lost"),
			delay:  time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond,
			limit:  named(rate), from: 200, until: 2200,
		}
		senders := rapid.IntRange(1, 68).Draw(t, "senders")
		h.known, h.told = make([]throttle.Limiter, senders), make([]time.Time, senders)
		h.run()

		assert.Assert(t, float64(h.most()) <= 1.5*rate*window.Seconds()+5, "%d requests at a limit of %g", h.most(), rate)

		offered := h.demand * float64(senders) / step.Seconds()
		length := (time.Duration(h.until-h.from)*step - contact).Seconds()

		if rate >= 1 && offered >= 2*rate {
			assert.Assert(t, float64(h.granted) >= 0.75*rate*length, "%d requests at a limit of %g", h.granted, rate)
		}

		assert.Assert(t, h.free)

		for sender := range h.known {
			h.known[sender].Adopt(at(31), h.holder.Newest("s"))
			assert.Assert(t, !h.over || !h.known[sender].Limited(), "sender %d still keeps the limit", sender)
		}
	})
}
