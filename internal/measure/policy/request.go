package policy

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/route/pick"
)

// outcome is how a request ended.
type outcome int

const (
	pending outcome = iota
	served
	failed
	// limited requests were refused because their account seemed to have used its rate and burst.
	limited
	// dropped requests were under way at the entry that was lost.
	dropped
)

// request is one arrival in one run.
type request struct {
	arrival

	fleet   *fleet
	entry   *entry
	tried   []string
	paid    *charge
	outcome outcome
	// wrongful says that an ideal bucket would not have refused the request.
	wrongful bool
	// within says that the ideal bucket had the tokens at the arrival.
	within bool
	// ideal is the debit at the ideal bucket.
	ideal bucket.DebitID
	// idealTaken is what that debit took; less than the cost while the ideal bucket is behind.
	idealTaken int64
	// stalled says that the request waited for a load, or was refused because of one.
	stalled bool
	// admitted, loaded and first are when the tokens were debited, the adapter was loaded and the first token came.
	admitted time.Time
	loaded   time.Time
	first    time.Time
	// spent is the tokens that count against the account.
	spent int64
}

func (r *request) version() engine.Adapter {
	return engine.Adapter{Name: r.adapter, Version: "1"}
}

func (r *request) steps() *run {
	if r.adapter == "" {
		return &run{first: orderSteps, total: orderSteps}
	}

	before := float64(r.prompt)/prefill + 1

	return &run{first: before, total: before + float64(r.output) - 1}
}

func (r *request) query() pick.Query {
	query := pick.Query{Capability: "service/order", HashKey: "order", Tried: r.tried, Now: r.fleet.loop.now}

	if r.adapter != "" {
		query.Capability = "model/base"
		query.HashKey = r.adapter
		query.Adapter = r.adapter + "@1"
	}

	return query
}

// begin debits the account and sends the request.
func (r *request) begin() {
	owner := r.fleet.accounts[r.account]
	r.within = r.covered()

	owner.debit(r.entry.index, r.cost(), func(paid *charge) {
		r.judge(paid != nil)

		if paid == nil {
			r.outcome = limited
			return
		}

		r.paid = paid
		r.admitted = r.fleet.loop.now
		r.spent = r.cost()
		r.entry.budget.RecordRequest(r.fleet.loop.now)
		r.send()
	})
}

// covered reports whether the ideal bucket has the tokens, beyond what it lacked for requests that are under way.
func (r *request) covered() bool {
	level := r.fleet.ideal[r.account].Level(r.fleet.loop.now)
	return level-r.fleet.owed[r.account] >= r.cost()*bucket.UnitsPerToken
}

// judge compares the decision with that of an ideal bucket, which counts what was admitted and what was refused wrongly. A
// refusal is wrongful if the ideal bucket had the tokens both at the arrival and at the refusal, a few milliseconds later.
func (r *request) judge(admitted bool) {
	now := r.fleet.loop.now
	ideal := r.fleet.ideal[r.account]
	cost := r.cost() * bucket.UnitsPerToken

	if admitted {
		r.ideal, r.idealTaken = ideal.Debit(now, cost)
		r.fleet.owed[r.account] += cost - r.idealTaken
		return
	}

	if r.within && r.covered() {
		r.wrongful = true
		mark, _ := ideal.Debit(now, r.use()*bucket.UnitsPerToken)
		ideal.CloseDebit(mark)
	}
}

// send routes the request to the next server.
func (r *request) send() {
	now := r.fleet.loop.now

	server := r.entry.picker.Pick(r.fleet.views[r.entry.index], r.query())
	if server == nil || len(r.tried) > 0 && !r.entry.budget.AllowRetry(now) {
		r.end(false)
		return
	}

	r.tried = append(r.tried, server.Name)
	target := r.fleet.agents[server.Name]

	if err := target.enter(r); err != nil {
		r.refused(target)
	}
}

// refused sends the request to another server, if it may be.
func (r *request) refused(by *agent) {
	r.entry.hear(by)

	late := !r.fleet.loop.now.Before(r.at.Add(r.timeout()))

	if late || len(r.tried) >= r.fleet.policy.tries() || r.outcome != pending {
		r.end(false)
		return
	}

	r.send()
}

func (r *request) start(at *agent) {
	r.entry.hear(at)
}

func (r *request) done(at *agent) {
	r.entry.hear(at)
	r.end(true)
}

// spending is what a request that did not end well counts for: all of its use once it has begun to answer.
func (r *request) spending() int64 {
	if r.first.IsZero() {
		return 0
	}

	return r.use()
}

// end settles the tokens of the request.
func (r *request) end(well bool) {
	if r.outcome != pending {
		return
	}

	r.outcome = failed
	r.spent = r.spending()

	if well {
		r.outcome = served
		r.spent = r.use()
	}

	cost := r.cost()
	r.fleet.accounts[r.account].settle(r.paid, cost, r.spent)
	r.fleet.owed[r.account] -= cost*bucket.UnitsPerToken - r.idealTaken
	r.fleet.ideal[r.account].Refund(r.fleet.loop.now, r.ideal, r.idealTaken-r.spent*bucket.UnitsPerToken)
}

// lose forgets a request with its entry; its tokens are not refunded.
func (r *request) lose() {
	if r.paid != nil && r.outcome == pending {
		r.outcome = dropped
	}
}
