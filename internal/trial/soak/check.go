package soak

import (
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	standin "github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
)

const (
	ranNo = "no"
	// missingCode is the error code of a response that ended without an end marker, an error event or a broken connection.
	missingCode = ""
)

// checkResults checks P1, P9 and P10 for the result of each call.
func (f *Fleet) checkResults() {
	for _, each := range f.record.results {
		f.checkText(each)
		f.checkEnd(each)

		if each.ran == ranNo && each.idempotencyKey == "" && len(f.record.starts[each.nonce]) > 0 {
			f.record.reportViolation("P10: %s was reported as not run, with code %s, but ran: %v", each.nonce, each.code, f.record.starts[each.nonce])
		}
	}
}

// checkText compares the text of a response with the engine's output, which is a function of adapter, version, prompt and
// token limit.
func (f *Fleet) checkText(one *callResult) {
	if one.kind == kindOrder || one.kind == kindAvailability {
		return
	}

	words, _ := standin.Output(engine.Request{
		Adapter: engine.Adapter{Name: one.adapter, Version: one.version}, Prompt: one.prompt, MaxTokens: one.tokens,
	})
	wanted := strings.Join(words, "")

	switch {
	case one.complete && one.text != wanted:
		f.record.reportViolation("P1, P9: %s received %q instead of %q", one.nonce, one.text, wanted)
	case !strings.HasPrefix(wanted, one.text):
		f.record.reportViolation("P1, P9: %s received %q, which is not a prefix of %q", one.nonce, one.text, wanted)
	}
}

// checkEnd reports responses that look complete but are not. A broken connection is visible to the caller and allowed here.
func (f *Fleet) checkEnd(one *callResult) {
	if one.status == 0 || one.err != nil || one.canceled || one.complete {
		return
	}

	if one.code == missingCode {
		f.record.reportViolation("P9: %s ended with status %d without an end marker or an error: %q", one.nonce, one.status, one.body)
	}
}

// checkEngines checks P2 and P7 with the engines' records.
func (f *Fleet) checkEngines() {
	for _, each := range f.allBackends {
		if each.model == nil {
			continue
		}

		record := each.model.Record()

		if record.EvictedRequests > 0 {
			f.record.reportViolation("P2: %s terminated %d requests by unloading their adapter", each.name, record.EvictedRequests)
		}

		// An engine that becomes cold while it runs may already have more requests, and the design states no time within
		// which an unannounced cold start must be detected.
		if !each.becameCold && record.MaxColdRequests > coldLimit {
			f.record.reportViolation("P7: %s had %d requests during a cold start, above its limit of %d", each.name, record.MaxColdRequests, coldLimit)
		}
	}
}

// checkOrders checks P11: no order runs twice, and the same idempotency key always gets the same response.
func (f *Fleet) checkOrders() {
	runs := map[string]int64{}

	for _, each := range f.allBackends {
		if each.orders == nil {
			continue
		}

		for body, count := range each.orders.Record().Bookings {
			runs[nonceOf(body)] += count
		}
	}

	for nonce, count := range runs {
		if count > 1 {
			f.record.reportViolation("P11: order %s ran %d times", nonce, count)
		}
	}

	f.checkOutcomes(runs)
}

// outcome is what the calls of one order returned.
type outcome struct {
	// body is that of the complete responses.
	body string
	// mayHaveRun is true if a call had no response, or one that does not report the order as not run.
	mayHaveRun bool
}

// checkOutcomes compares the responses to the calls of each order with the number of its runs.
func (f *Fleet) checkOutcomes(runs map[string]int64) {
	outcomes := map[string]*outcome{}

	for _, each := range f.record.results {
		if each.kind != kindOrder {
			continue
		}

		known := outcomes[each.nonce]
		if known == nil {
			known = &outcome{}
			outcomes[each.nonce] = known
		}

		if each.ran != ranNo && !each.refused {
			known.mayHaveRun = true
		}

		if !each.complete {
			continue
		}

		if known.body != "" && known.body != each.body {
			f.record.reportViolation("P11: order %s got the responses %s and %s", each.nonce, known.body, each.body)
		}

		known.body = each.body

		if runs[each.nonce] != 1 {
			f.record.reportViolation("P11: order %s got the response %s but ran %d times", each.nonce, each.body, runs[each.nonce])
		}
	}

	for nonce, known := range outcomes {
		if !known.mayHaveRun && runs[nonce] > 0 {
			f.record.reportViolation("P10: every call of order %s was reported as not run, but the order ran", nonce)
		}
	}
}
