package soak

import (
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	standin "github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
)

const (
	ranNo = "no"
	// missingCode stands for an answer that ended without an end marker, an error event or a broken connection.
	missingCode = ""
)

// checkAnswers checks P1, P9 and P10 for each answer.
func (f *Fleet) checkAnswers() {
	for _, each := range f.record.answers {
		f.checkText(each)
		f.checkEnd(each)

		if each.ran == ranNo && each.order == "" && len(f.record.starts[each.nonce]) > 0 {
			f.record.violate("P10: %s was refused with %s and ran at %v", each.nonce, each.code, f.record.starts[each.nonce])
		}
	}
}

// checkText compares with the engine's text, which is a function of adapter, version, prompt and token limit.
func (f *Fleet) checkText(one *answer) {
	if one.kind == kindOrder || one.kind == kindAvailability {
		return
	}

	words, _ := standin.Output(engine.Request{
		Adapter: engine.Adapter{Name: one.adapter, Version: one.version}, Prompt: one.prompt, MaxTokens: one.tokens,
	})
	wanted := strings.Join(words, "")

	switch {
	case one.whole && one.text != wanted:
		f.record.violate("P1, P9: %s got %q and not %q", one.nonce, one.text, wanted)
	case !strings.HasPrefix(wanted, one.text):
		f.record.violate("P1, P9: %s got %q, which does not begin %q", one.nonce, one.text, wanted)
	}
}

// checkEnd refuses answers that look whole and are not. A broken connection is visible to the caller and allowed here.
func (f *Fleet) checkEnd(one *answer) {
	if one.status == 0 || one.err != nil || one.left || one.whole {
		return
	}

	if one.code == missingCode {
		f.record.violate("P9: %s ended with status %d without an end marker or an error: %q", one.nonce, one.status, one.body)
	}
}

// checkEngines checks P2 and P7 from the engines' records.
func (f *Fleet) checkEngines() {
	for _, each := range f.all {
		if each.model == nil {
			continue
		}

		record := each.model.Record()

		if record.EvictedRequests > 0 {
			f.record.violate("P2: %s cut %d requests by unloading their adapter", each.name, record.EvictedRequests)
		}

		// An engine that becomes cold while it runs may have more requests already, and the design gives no time in which
		// a cold start without warning must be noticed.
		if !each.turned && record.MaxColdRequests > coldLimit {
			f.record.violate("P7: %s had %d requests in a cold start and handles %d", each.name, record.MaxColdRequests, coldLimit)
		}
	}
}

// checkOrders checks P11: no order ran twice, and the same key always gets the same answer.
func (f *Fleet) checkOrders() {
	runs := map[string]int64{}

	for _, each := range f.all {
		if each.orders == nil {
			continue
		}

		for body, count := range each.orders.Record().Bookings {
			runs[nonceOf(body)] += count
		}
	}

	for nonce, count := range runs {
		if count > 1 {
			f.record.violate("P11: order %s ran %d times", nonce, count)
		}
	}

	f.checkOutcomes(runs)
}

// outcome is what the callers of one order heard.
type outcome struct {
	body string
	// doubt says that a call had no answer or one that is not "not run".
	doubt bool
}

func (f *Fleet) checkOutcomes(runs map[string]int64) {
	heard := map[string]*outcome{}

	for _, each := range f.record.answers {
		if each.kind != kindOrder {
			continue
		}

		known := heard[each.nonce]
		if known == nil {
			known = &outcome{}
			heard[each.nonce] = known
		}

		if each.ran != ranNo && !each.refused {
			known.doubt = true
		}

		if !each.whole {
			continue
		}

		if known.body != "" && known.body != each.body {
			f.record.violate("P11: order %s was answered %s and %s", each.nonce, known.body, each.body)
		}

		known.body = each.body

		if runs[each.nonce] != 1 {
			f.record.violate("P11: order %s was answered %s and ran %d times", each.nonce, each.body, runs[each.nonce])
		}
	}

	for nonce, known := range heard {
		if !known.doubt && runs[nonce] > 0 {
			f.record.violate("P10: every call of order %s was refused as not run and it ran", nonce)
		}
	}
}
