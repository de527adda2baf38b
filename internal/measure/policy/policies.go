package policy

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/route/pick"
	"github.com/chestnutbeam/chestnutbeam/internal/route/retry"
)

// Policy is one set of rules to measure. The zero value, with a Name, is the system's own.
type Policy struct {
	Name string
	// Route returns the routing policy; nil means pick.Spillover.
	Route func(seed uint64) pick.Policy
	// Stay keeps a request at its first server, whatever that answers.
	Stay bool
	// Blind drops the residency lists from load reports.
	Blind bool
	// Full starts cold engines with their highest concurrency limit.
	Full bool
	// Refund is the rule for unused tokens.
	Refund Refund
	// Fixed asks holders in a fixed order, the local one first, instead of fullest first.
	Fixed bool
	// Hasty refuses at once what lacks tokens that refill soon.
	Hasty bool
	// Static divides limits equally between the entries and moves nothing.
	Static bool
	// Ageless counts all uses of an adapter alike, however long ago.
	Ageless bool
	// Sudden gives a returning domain its whole weight at once.
	Sudden bool
	// Shared puts all accounts into one queue flow.
	Shared bool
	// Flat puts all requests into one class.
	Flat bool
}

// Refund is a rule for the tokens that a request did not use.
type Refund int

// The rules: as the system does, without regard to the level since the debit, or none.
const (
	RefundRule Refund = iota
	RefundPlain
	RefundNone
)

// endless is a half-life that is long against any run.
const endless = 10000 * time.Hour

// Policies returns the system's own policy, the baselines, and the own policy with one mechanism off each.
func Policies() []Policy {
	return []Policy{
		{Name: "ours"},
		{Name: "random", Route: func(seed uint64) pick.Policy {
			return pick.Random{Rand: rand.New(rand.NewPCG(seed, streamRandom))}
		}},
		{Name: "least-loaded", Route: func(uint64) pick.Policy { return pick.LeastLoaded{} }},
		{Name: "rendezvous", Route: func(uint64) pick.Policy { return pick.Rendezvous{} }, Stay: true},
		{Name: "static-split", Static: true},
		{Name: "fifo", Shared: true, Flat: true},
		{Name: "no-spill", Stay: true},
		{Name: "no-hints", Blind: true},
		{Name: "no-ramp", Full: true},
		{Name: "plain-refund", Refund: RefundPlain},
		{Name: "no-refund", Refund: RefundNone},
		{Name: "no-fullest", Fixed: true},
		{Name: "no-wait", Hasty: true},
		{Name: "no-ageing", Ageless: true},
		{Name: "no-gradual", Sudden: true},
		{Name: "no-fair", Shared: true},
	}
}

func (p Policy) tries() int {
	if p.Stay {
		return 1
	}

	return retry.MaxServers
}
