package policy

import (
	"strconv"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/route/pick"
	"github.com/chestnutbeam/chestnutbeam/internal/route/retry"
)

const (
	// entryDelay and agentDelay are how long entries and agents take to learn of a change of the document.
	entryDelay = time.Second
	agentDelay = 1500 * time.Millisecond
	// viewInterval is the time between two updates of the member views.
	viewInterval = time.Second
	// lostDomain and lostEntry are the ones that leave, and coldEngines the number of engines that turn cold, coldPause apart.
	lostDomain  = 1
	lostEntry   = 2
	coldEngines = 3
	coldPause   = 5 * time.Second
)

// fleet is one run of one policy.
type fleet struct {
	loop     *loop
	plan     Plan
	policy   Policy
	entries  [entries]*entry
	views    [entries]*member.View
	contacts [entries]*member.Breakers
	list     vms.List
	doc      *document.Document
	agents   map[string]*agent
	servers  []*agent
	store    *store
	accounts []*account
	// ideal holds one bucket with the whole rate and burst for each account.
	ideal []*bucket.Bucket
	// owed is what the ideal buckets lacked for admitted requests that are under way, in units.
	owed     [len(demand)]int64
	requests []*request
}

type entry struct {
	index  int
	loop   *loop
	picker *pick.Picker
	budget *retry.Budget
}

// hear takes the load that an agent reports.
func (e *entry) hear(from *agent) {
	e.picker.Report(from.name, from.report(e.picker.ResidentEpoch(from.name)), e.loop.now)
}

func newFleet(plan Plan, policy Policy) *fleet {
	l := &loop{now: epoch}
	f := &fleet{
		loop:   l,
		plan:   plan,
		policy: policy,
		agents: map[string]*agent{},
		store:  &store{loop: l},
		doc:    &document.Document{Domains: map[string]document.Domain{}},
	}

	for i := range f.entries {
		f.entries[i] = f.newEntry(i)
		f.contacts[i] = &member.Breakers{}
	}

	for i := range demand {
		limits := terms.Limits{Rate: rate(i), Burst: burst(i)}
		whole, size := limits.ForRange(terms.Range{End: terms.TotalShare})
		f.accounts = append(f.accounts, newAccount(l, policy, limits))
		f.ideal = append(f.ideal, bucket.New(l.now, whole, size, size))
	}

	weights, _ := terms.LimitsOf(nil, terms.WeightStoreAccount)
	budget := newAccount(l, Policy{}, weights)

	for i := range models + orderServers {
		f.addServer(i, budget)
	}

	f.see()

	return f
}

func (f *fleet) newEntry(i int) *entry {
	made := &entry{index: i, loop: f.loop, picker: &pick.Picker{Domain: domain(i), Region: "region"}, budget: &retry.Budget{}}
	if f.policy.Route != nil {
		made.picker.Policy = f.policy.Route(f.plan.Seed + uint64(i)<<32)
	}

	return made
}

func domain(i int) string {
	return "domain" + strconv.Itoa(i%domains)
}

func (f *fleet) addServer(i int, budget *account) {
	name := "server" + strconv.Itoa(i)
	offer := "model/base"

	if i >= models {
		offer = "service/order"
	}

	made := &agent{
		name:   name,
		domain: i % domains,
		loop:   f.loop,
		policy: f.policy,
		engine: &fake{loop: f.loop, since: f.loop.now},
		store:  f.store,
		budget: budget,
	}

	made.configure()
	f.agents[name] = made
	f.servers = append(f.servers, made)
	f.list.VMs = append(f.list.VMs, vms.VM{
		Name: name, Address: name, Domain: domain(i), Region: "region", Role: vms.RoleAgent, Server: name, Serves: []string{offer},
	})
}

// see brings the member views up to date. A view with unchanged weights is kept, as its rankings are.
func (f *fleet) see() {
	for i := range f.views {
		servers := member.Merge(f.list, f.doc, f.contacts[i], f.loop.now)
		if f.views[i] == nil || changed(f.views[i].Servers, servers) {
			f.views[i] = member.NewView(servers)
		}
	}
}

func changed(before, after []*member.Server) bool {
	if len(before) != len(after) {
		return true
	}

	for i := range before {
		if before[i].Name != after[i].Name || before[i].Weight != after[i].Weight {
			return true
		}
	}

	return false
}

// schedule plans the arrivals and the events of the run.
func (f *fleet) schedule(list []arrival) {
	for _, one := range list {
		r := &request{arrival: one, fleet: f}
		f.requests = append(f.requests, r)
		f.loop.at(one.at, func() {
			r.entry = f.entries[f.reach(one.entry)]
			r.begin()
		})
	}

	f.loop.every(viewInterval, f.see)
	f.loop.at(f.plan.moment(f.plan.Out), f.takeOut)
	f.loop.at(f.plan.moment(f.plan.Back), f.bringBack)
	f.loop.at(f.plan.moment(f.plan.Lost), f.loseEntry)
	f.loop.at(f.plan.moment(f.plan.Found), f.findEntry)

	for i := range coldEngines {
		f.loop.at(f.plan.moment(f.plan.Cold+time.Duration(i)*coldPause), func() { f.servers[i*domains].engine.turnCold(true) })
	}
}

// reach returns the entry that a caller of an entry reaches.
func (f *fleet) reach(i int) int {
	if f.accounts[0].holders[i].lost {
		return (i + 1) % entries
	}

	return i
}

func (f *fleet) takeOut() {
	f.doc.Domains[domain(lostDomain)] = document.Domain{Out: true, Since: f.loop.now}
	f.loop.after(entryDelay, f.see)
	f.loop.after(agentDelay, func() { f.members((*agent).leave) })
}

func (f *fleet) bringBack() {
	state := document.Domain{Since: f.loop.now}
	if f.policy.Sudden {
		state.Since = time.Time{}
	}

	f.members((*agent).comeBack)
	f.doc.Domains[domain(lostDomain)] = state
	f.see()
}

// members applies an action to the agents of the lost domain.
func (f *fleet) members(action func(*agent)) {
	for _, one := range f.servers {
		if one.domain == lostDomain {
			action(one)
		}
	}
}

func (f *fleet) loseEntry() {
	for _, owner := range f.accounts {
		owner.lose(lostEntry)
	}

	f.servers[0].budget.lose(lostEntry)

	for _, r := range f.requests {
		if r.entry == f.entries[lostEntry] {
			r.lose()
		}
	}
}

func (f *fleet) findEntry() {
	for _, owner := range f.accounts {
		owner.replace(lostEntry)
	}

	f.servers[0].budget.replace(lostEntry)
	f.entries[lostEntry] = f.newEntry(lostEntry)
}

// run carries out one policy.
func (f *fleet) run(list []arrival) {
	f.schedule(list)
	f.loop.run(f.plan.moment(f.plan.End))
}
