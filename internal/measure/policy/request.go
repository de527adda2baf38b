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
	completed
	failed
	// rateLimited requests were refused because the debit of their account failed.
	rateLimited
	// lostWithEntry requests were in flight at the entry that was lost.
	lostWithEntry
)

// request is an arrival with its state in a run.
type request struct {
	arrival

	fleet        *fleet
	entry        *entry
	triedServers []string
	charged      *charge
	outcome      outcome
	// falselyRejected is true if an ideal bucket would not have refused the request.
	falselyRejected bool
	// idealHadTokens is true if the ideal bucket had the tokens at the arrival.
	idealHadTokens bool
	// idealDebit is the debit at the ideal bucket.
	idealDebit bucket.DebitID
	// idealTaken is what that debit took, in units; less than the cost if the ideal bucket lacked tokens.
	idealTaken int64
	// stalled is true if the request waited for a load, or was refused because of one.
	stalled bool
	// admittedAt, loadedAt and firstTokenAt are when the tokens were debited, the adapter was loaded and the first token was
	// produced.
	admittedAt   time.Time
	loadedAt     time.Time
	firstTokenAt time.Time
	// spentTokens is the number of tokens that the account is charged.
	spentTokens int64
}

func (r *request) adapterVersion() engine.Adapter {
	return engine.Adapter{Name: r.adapter, Version: "1"}
}

func (r *request) newEngineRequest() *engineRequest {
	if r.adapter == "" {
		return &engineRequest{stepsToFirstToken: plainCallSteps, stepsToEnd: plainCallSteps}
	}

	promptSteps := float64(r.prompt)/prefillTokensPerStep + 1

	return &engineRequest{stepsToFirstToken: promptSteps, stepsToEnd: promptSteps + float64(r.output) - 1}
}

func (r *request) query() pick.Query {
	query := pick.Query{Capability: "service/order", HashKey: "order", Tried: r.triedServers, Now: r.fleet.loop.now}

	if r.adapter != "" {
		query.Capability = "model/base"
		query.HashKey = r.adapter
		query.Adapter = r.adapter + "@1"
	}

	return query
}

// debitAndSend debits the account and sends the request to a server.
func (r *request) debitAndSend() {
	owner := r.fleet.accounts[r.account]
	r.idealHadTokens = r.idealCovers()

	owner.debit(r.entry.index, r.cost(), func(charged *charge) {
		r.compareWithIdeal(charged != nil)

		if charged == nil {
			r.outcome = rateLimited
			return
		}

		r.charged = charged
		r.admittedAt = r.fleet.loop.now
		r.spentTokens = r.cost()
		r.entry.retryBudget.RecordRequest(r.fleet.loop.now)
		r.sendToNext()
	})
}

// idealCovers reports whether the ideal bucket has the tokens in addition to what it lacked for requests that are in flight.
func (r *request) idealCovers() bool {
	level := r.fleet.idealBuckets[r.account].Level(r.fleet.loop.now)
	return level-r.fleet.idealDeficits[r.account] >= r.cost()*bucket.UnitsPerToken
}

// compareWithIdeal compares the decision with that of an ideal bucket, which is debited for admitted and for falsely rejected
// requests. A rejection is false if the ideal bucket had the tokens both at the arrival and at the rejection, a few
// milliseconds later.
func (r *request) compareWithIdeal(admitted bool) {
	now := r.fleet.loop.now
	ideal := r.fleet.idealBuckets[r.account]
	cost := r.cost() * bucket.UnitsPerToken

	if admitted {
		r.idealDebit, r.idealTaken = ideal.Debit(now, cost)
		r.fleet.idealDeficits[r.account] += cost - r.idealTaken
		return
	}

	if r.idealHadTokens && r.idealCovers() {
		r.falselyRejected = true
		id, _ := ideal.Debit(now, r.usedTokens()*bucket.UnitsPerToken)
		ideal.CloseDebit(id)
	}
}

// sendToNext routes the request to the next server.
func (r *request) sendToNext() {
	now := r.fleet.loop.now

	server := r.entry.picker.Pick(r.fleet.views[r.entry.index], r.query())
	if server == nil || len(r.triedServers) > 0 && !r.entry.retryBudget.AllowRetry(now) {
		r.finish(false)
		return
	}

	r.triedServers = append(r.triedServers, server.Name)
	target := r.fleet.agents[server.Name]

	if err := target.admit(r); err != nil {
		r.onRefused(target)
	}
}

// onRefused retries the request at another server if that is allowed.
func (r *request) onRefused(by *agent) {
	r.entry.recordLoad(by)

	late := !r.fleet.loop.now.Before(r.at.Add(r.timeout()))

	if late || len(r.triedServers) >= r.fleet.policy.maxServers() || r.outcome != pending {
		r.finish(false)
		return
	}

	r.sendToNext()
}

func (r *request) onStarted(at *agent) {
	r.entry.recordLoad(at)
}

func (r *request) onCompleted(at *agent) {
	r.entry.recordLoad(at)
	r.finish(true)
}

// tokensIfUnfinished returns the tokens that are charged for a request that did not complete: all that it would use once it
// has produced output, and none before.
func (r *request) tokensIfUnfinished() int64 {
	if r.firstTokenAt.IsZero() {
		return 0
	}

	return r.usedTokens()
}

// finish records the outcome of the request and refunds its unused tokens.
func (r *request) finish(success bool) {
	if r.outcome != pending {
		return
	}

	r.outcome = failed
	r.spentTokens = r.tokensIfUnfinished()

	if success {
		r.outcome = completed
		r.spentTokens = r.usedTokens()
	}

	cost := r.cost()
	r.fleet.accounts[r.account].refundUnused(r.charged, cost, r.spentTokens)
	r.fleet.idealDeficits[r.account] -= cost*bucket.UnitsPerToken - r.idealTaken
	r.fleet.idealBuckets[r.account].Refund(r.fleet.loop.now, r.idealDebit, r.idealTaken-r.spentTokens*bucket.UnitsPerToken)
}

// loseWithEntry marks a request in flight at the lost entry. Its tokens are not refunded.
func (r *request) loseWithEntry() {
	if r.charged != nil && r.outcome == pending {
		r.outcome = lostWithEntry
	}
}
