package policy

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/route/pick"
	"github.com/chestnutbeam/chestnutbeam/internal/route/retry"
)

// Policy is a combination of mechanisms to measure. The zero value, with a Name, is the policy of the system.
type Policy struct {
	Name string
	// Route returns the routing policy; nil means pick.Spillover.
	Route func(seed uint64) pick.Policy
	// NoRetry sends a request to one server only, even if that refuses it.
	NoRetry bool
	// NoResidencyLists omits the residency lists from load reports.
	NoResidencyLists bool
	// NoRamp starts cold engines with their maximum concurrency limit.
	NoRamp bool
	// Refund is the rule for unused tokens.
	Refund RefundPolicy
	// FixedHolderOrder debits holders in a fixed order, the local one first, instead of fullest first.
	FixedHolderOrder bool
	// NoRefillWait refuses requests at once instead of waiting for tokens that refill soon.
	NoRefillWait bool
	// StaticSplit divides limits equally between the entries; a request is debited at its own entry only.
	StaticSplit bool
	// NoUseDecay weights all uses of an adapter equally, regardless of their age.
	NoUseDecay bool
	// NoGradualReturn gives a returning failure domain its full weight at once.
	NoGradualReturn bool
	// SingleFlow puts all accounts into one flow of the queue.
	SingleFlow bool
	// SingleClass puts all requests into one priority class.
	SingleClass bool
}

// RefundPolicy is a rule for the tokens that a request did not use.
type RefundPolicy int

// RefundDefault is the rule of the system, RefundPlain credits refunds without regard to the level since the debit, and
// RefundNone refunds nothing.
const (
	RefundDefault RefundPolicy = iota
	RefundPlain
	RefundNone
)

// infiniteHalfLife is a half-life much longer than any run.
const infiniteHalfLife = 10000 * time.Hour

// Policies returns the policy of the system, the baselines, and the variants of the former with one mechanism disabled each.
func Policies() []Policy {
	return []Policy{
		{Name: "ours"},
		{Name: "random", Route: func(seed uint64) pick.Policy {
			return pick.Random{Rand: rand.New(rand.NewPCG(seed, streamRandom))}
		}},
		{Name: "least-loaded", Route: func(uint64) pick.Policy { return pick.LeastLoaded{} }},
		{Name: "rendezvous", Route: func(uint64) pick.Policy { return pick.Rendezvous{} }, NoRetry: true},
		{Name: "static-split", StaticSplit: true},
		{Name: "fifo", SingleFlow: true, SingleClass: true},
		{Name: "no-spill", NoRetry: true},
		{Name: "no-hints", NoResidencyLists: true},
		{Name: "no-ramp", NoRamp: true},
		{Name: "plain-refund", Refund: RefundPlain},
		{Name: "no-refund", Refund: RefundNone},
		{Name: "no-fullest", FixedHolderOrder: true},
		{Name: "no-wait", NoRefillWait: true},
		{Name: "no-ageing", NoUseDecay: true},
		{Name: "no-gradual", NoGradualReturn: true},
		{Name: "no-fair", SingleFlow: true},
	}
}

func (p Policy) maxServers() int {
	if p.NoRetry {
		return 1
	}

	return retry.MaxServers
}
