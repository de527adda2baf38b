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
	// entryConfigDelay and agentConfigDelay are the times after which entries and agents apply a change of the document.
	entryConfigDelay = time.Second
	agentConfigDelay = 1500 * time.Millisecond
	// viewInterval is the time between two updates of the member views.
	viewInterval = time.Second
	// outDomain is the failure domain that is taken out of service, and lostEntry the entry that is lost. coldEngines engines
	// become cold, one every coldStartInterval.
	outDomain         = 1
	lostEntry         = 2
	coldEngines       = 3
	coldStartInterval = 5 * time.Second
)

// fleet is the state of one run of one policy.
type fleet struct {
	loop     *loop
	plan     Plan
	policy   Policy
	entries  [entries]*entry
	views    [entries]*member.View
	breakers [entries]*member.Breakers
	vmList   vms.List
	doc      *document.Document
	agents   map[string]*agent
	servers  []*agent
	store    *store
	accounts []*account
	// idealBuckets holds one bucket with the whole rate and burst for each account.
	idealBuckets []*bucket.Bucket
	// idealDeficits is what the ideal buckets lacked for admitted requests that are in flight, in units.
	idealDeficits [len(generationRates)]int64
	requests      []*request
}

type entry struct {
	index       int
	loop        *loop
	picker      *pick.Picker
	retryBudget *retry.Budget
}

// recordLoad records the load that an agent reports.
func (e *entry) recordLoad(from *agent) {
	e.picker.Report(from.name, from.loadReport(e.picker.ResidentEpoch(from.name)), e.loop.now)
}

func newFleet(plan Plan, policy Policy) *fleet {
	l := &loop{now: startTime}
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
		f.breakers[i] = &member.Breakers{}
	}

	for i := range generationRates {
		limits := terms.Limits{Rate: accountRate(i), Burst: accountBurst(i)}
		fullRate, capacity := limits.ForRange(terms.Range{End: terms.TotalShare})
		f.accounts = append(f.accounts, newAccount(l, policy, limits))
		f.idealBuckets = append(f.idealBuckets, bucket.New(l.now, fullRate, capacity, capacity))
	}

	weights, _ := terms.LimitsOf(nil, terms.WeightStoreAccount)
	loadBudget := newAccount(l, Policy{}, weights)

	for i := range models + plainServers {
		f.addServer(i, loadBudget)
	}

	f.refreshViews()

	return f
}

func (f *fleet) newEntry(i int) *entry {
	created := &entry{index: i, loop: f.loop, picker: &pick.Picker{Domain: domain(i), Region: "region"}, retryBudget: &retry.Budget{}}
	if f.policy.Route != nil {
		created.picker.Policy = f.policy.Route(f.plan.Seed + uint64(i)<<32)
	}

	return created
}

func domain(i int) string {
	return "domain" + strconv.Itoa(i%domains)
}

func (f *fleet) addServer(i int, loadBudget *account) {
	name := "server" + strconv.Itoa(i)
	capability := "model/base"

	if i >= models {
		capability = "service/order"
	}

	created := &agent{
		name:       name,
		domain:     i % domains,
		loop:       f.loop,
		policy:     f.policy,
		engine:     &fakeEngine{loop: f.loop, advancedAt: f.loop.now},
		store:      f.store,
		loadBudget: loadBudget,
	}

	created.configure()
	f.agents[name] = created
	f.servers = append(f.servers, created)
	f.vmList.VMs = append(f.vmList.VMs, vms.VM{
		Name: name, Address: name, Domain: domain(i), Region: "region", Role: vms.RoleAgent, Server: name, Serves: []string{capability},
	})
}

// refreshViews updates the member views. A view with unchanged weights is kept, and with it its cached rankings.
func (f *fleet) refreshViews() {
	for i := range f.views {
		servers := member.Merge(f.vmList, f.doc, f.breakers[i], f.loop.now)
		if f.views[i] == nil || weightsChanged(f.views[i].Servers, servers) {
			f.views[i] = member.NewView(servers)
		}
	}
}

func weightsChanged(before, after []*member.Server) bool {
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

// scheduleEvents schedules the arrivals and the events of the run.
func (f *fleet) scheduleEvents(list []arrival) {
	for _, one := range list {
		r := &request{arrival: one, fleet: f}
		f.requests = append(f.requests, r)
		f.loop.at(one.at, func() {
			r.entry = f.entries[f.reachableEntry(one.entry)]
			r.debitAndSend()
		})
	}

	f.loop.every(viewInterval, f.refreshViews)
	f.loop.at(f.plan.timeAt(f.plan.DomainOut), f.takeDomainOut)
	f.loop.at(f.plan.timeAt(f.plan.DomainBack), f.returnDomain)
	f.loop.at(f.plan.timeAt(f.plan.EntryLost), f.loseEntry)
	f.loop.at(f.plan.timeAt(f.plan.EntryReplaced), f.replaceEntry)

	for i := range coldEngines {
		f.loop.at(f.plan.timeAt(f.plan.ColdStarts+time.Duration(i)*coldStartInterval), func() { f.servers[i*domains].engine.startCold(true) })
	}
}

// reachableEntry returns entry i, or the next one while entry i is lost.
func (f *fleet) reachableEntry(i int) int {
	if f.accounts[0].holders[i].lost {
		return (i + 1) % entries
	}

	return i
}

func (f *fleet) takeDomainOut() {
	f.doc.Domains[domain(outDomain)] = document.Domain{Out: true, Since: f.loop.now}
	f.loop.after(entryConfigDelay, f.refreshViews)
	f.loop.after(agentConfigDelay, func() { f.eachOutAgent((*agent).takeOutOfService) })
}

func (f *fleet) returnDomain() {
	state := document.Domain{Since: f.loop.now}
	if f.policy.NoGradualReturn {
		state.Since = time.Time{}
	}

	f.eachOutAgent((*agent).restart)
	f.doc.Domains[domain(outDomain)] = state
	f.refreshViews()
}

// eachOutAgent applies an action to the agents of outDomain.
func (f *fleet) eachOutAgent(action func(*agent)) {
	for _, one := range f.servers {
		if one.domain == outDomain {
			action(one)
		}
	}
}

func (f *fleet) loseEntry() {
	for _, account := range f.accounts {
		account.loseHolder(lostEntry)
	}

	f.servers[0].loadBudget.loseHolder(lostEntry)

	for _, r := range f.requests {
		if r.entry == f.entries[lostEntry] {
			r.loseWithEntry()
		}
	}
}

func (f *fleet) replaceEntry() {
	for _, account := range f.accounts {
		account.replaceHolder(lostEntry)
	}

	f.servers[0].loadBudget.replaceHolder(lostEntry)
	f.entries[lostEntry] = f.newEntry(lostEntry)
}

// run runs the arrivals until the end of the plan.
func (f *fleet) run(list []arrival) {
	f.scheduleEvents(list)
	f.loop.run(f.plan.timeAt(f.plan.End))
}
