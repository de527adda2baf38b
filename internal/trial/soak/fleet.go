package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	agent "github.com/chestnutbeam/chestnutbeam/internal/agent/server"
	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	entry "github.com/chestnutbeam/chestnutbeam/internal/entry/server"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/program/compose"
	standin "github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/order"
	listed "github.com/chestnutbeam/chestnutbeam/internal/standin/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/weight"
)

const (
	engineBatch = 8
	engineSlots = 4
	engineCount = 5
	orderCount  = 2
	// reportLag is the age of load reports.
	reportLag = 500 * time.Millisecond
	// coldTime is the length of the cold start of each boot.
	coldTime = 10 * time.Second
	// listLag is the time until a change of the VM list is visible.
	listLag       = 500 * time.Millisecond
	operatorToken = "soak-operator-token"
	tokenTime     = 10 * time.Millisecond
)

// domains are the failure domains; each has an entry.
var domains = []string{"a", "b", "c"}

// Fleet is a running fleet of entries, agents and backend servers.
type Fleet struct {
	network *Network
	record  *Record
	tables  *tables
	objects *objects
	list    *listed.Server
	weights *weight.Store
	keys    map[string][]credential

	mu       sync.Mutex
	entries  map[string]*process
	backends []*backend
	// all are the backend servers that ever ran.
	all []*backend
	// every process that ever ran, for the end.
	processes []*process
	count     int
}

func newFleet() *Fleet {
	return &Fleet{
		network: newNetwork(),
		record:  newRecord(),
		tables:  &tables{},
		objects: &objects{},
		list:    &listed.Server{Lag: listLag},
		weights: &weight.Store{},
		entries: map[string]*process{},
	}
}

// start starts every process.
func (f *Fleet) start(ctx context.Context) error {
	wanted, credentials := newDocument()
	f.keys = credentials

	for _, held := range credentials {
		for _, each := range held {
			f.record.secrets = append(f.record.secrets, each.secret)
		}
	}

	if err := commitDocument(ctx, f, wanted); err != nil {
		return err
	}

	for _, domain := range domains {
		f.startEntry(domain)
	}

	for i := range engineCount {
		f.addEngine(domains[i%len(domains)])
	}

	for i := range orderCount {
		f.addOrders(domains[i%len(domains)])
	}

	return nil
}

// next returns a number for names.
func (f *Fleet) next() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.count++

	return f.count
}

func (f *Fleet) track(one *process) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.processes = append(f.processes, one)
}

func (f *Fleet) platform(owner *process) compose.Platform {
	return compose.Platform{
		Table:   &tableClient{network: f.network, owner: owner, tables: f.tables},
		Objects: f.objects,
		VMs:     &listClient{network: f.network, owner: owner, list: f.list},
	}
}

func entryName(domain string) string { return "entry-" + domain }

// startEntry starts the entry of a failure domain, or its successor on the same VM.
func (f *Fleet) startEntry(domain string) {
	name := entryName(domain)
	made := newProcess(name, domain)
	f.list.Put(vms.VM{Name: name, Address: name + ":1", Domain: domain, Role: vms.RoleEntry})

	server := &entry.Server{
		HTTP: f.network.listen(name+":80", made),
		Peer: f.network.listen(name+":1", made),
		Dial: f.network.dialer(made),
	}
	server.Settings.Place = settings.Place{VM: name, Domain: domain}
	server.Settings.Peer = name + ":1"
	server.Settings.Operators = []settings.Operator{{Name: "soak", Hash: keys.Hash(operatorToken)}}

	compose.ConfigureEntry(server, f.platform(made))
	made.run(f.network, server.Run)
	f.track(made)

	f.mu.Lock()
	defer f.mu.Unlock()

	f.entries[domain] = made
}

func (f *Fleet) entry(domain string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.entries[domain]
}

func (f *Fleet) addEngine(domain string) {
	number := f.next()
	model := standin.New(standin.Config{
		Models: []string{modelName}, Slots: engineSlots, BatchSize: engineBatch, TokenTime: tokenTime, ReportLag: reportLag,
		Fencing: number%2 == 0, ColdTime: coldTime, ColdLimit: coldLimit, Fetch: f.weights.Load,
	})
	made := &backend{name: fmt.Sprintf("engine-%d", number), vm: fmt.Sprintf("vm-%d", number), domain: domain, model: model}

	f.mu.Lock()
	f.backends = append(f.backends, made)
	f.all = append(f.all, made)
	f.mu.Unlock()

	f.startAgent(made)
}

func (f *Fleet) addOrders(domain string) {
	number := f.next()
	made := &backend{name: fmt.Sprintf("orders-%d", number), vm: fmt.Sprintf("vm-%d", number), domain: domain, orders: &order.Server{}}

	f.mu.Lock()
	f.backends = append(f.backends, made)
	f.all = append(f.all, made)
	f.mu.Unlock()

	f.startAgent(made)
}

// startAgent starts the agent of a backend server, or its successor on the same VM.
func (f *Fleet) startAgent(b *backend) {
	made := newProcess(b.vm, b.domain)
	server := &agent.Server{Listener: f.network.listen(b.address(), made)}
	server.Settings.Place = settings.Place{VM: b.vm, Domain: b.domain}
	server.Settings.Server = b.name
	server.Settings.Listen = b.address()

	if b.model != nil {
		server.Engine = &engineClient{Server: b.model, network: f.network, record: f.record, owner: made, backend: b}
	} else {
		server.Service = &orderClient{network: f.network, record: f.record, owner: made, backend: b}
		server.Settings.Name = serviceName
	}

	f.list.Put(b.listed(false))
	compose.ConfigureAgent(server, f.platform(made), f.network.dialer(made))
	made.run(f.network, server.Run)
	f.track(made)

	f.mu.Lock()
	defer f.mu.Unlock()

	b.agent = made
}

func (b *backend) listed(leaving bool) vms.VM {
	serves := "service/" + serviceName
	if b.model != nil {
		serves = "model/" + modelName
	}

	return vms.VM{
		Name: b.vm, Address: b.address(), Domain: b.domain, Role: vms.RoleAgent, Server: b.name,
		Serves: []string{serves}, Terminating: leaving,
	}
}

// servers returns the backend servers that run now; only engines if asked.
func (f *Fleet) servers(engines bool) []*backend {
	f.mu.Lock()
	defer f.mu.Unlock()

	var found []*backend

	for _, each := range f.backends {
		if !engines || each.model != nil {
			found = append(found, each)
		}
	}

	return found
}

// turn marks an engine that becomes cold while it runs.
func (f *Fleet) turn(b *backend) {
	f.mu.Lock()
	defer f.mu.Unlock()

	b.turned = true
}

// remove takes a backend server from the fleet, together with its VM.
func (f *Fleet) remove(b *backend) {
	f.list.Remove(b.vm)

	f.mu.Lock()
	defer f.mu.Unlock()

	for i, each := range f.backends {
		if each == b {
			f.backends = append(f.backends[:i:i], f.backends[i+1:]...)
			return
		}
	}
}

// stop ends every process and waits for all goroutines.
func (f *Fleet) stop() {
	f.network.heal()

	for _, each := range f.processes {
		each.stop()
	}

	for _, each := range f.processes {
		<-each.done
	}

	for _, each := range f.all {
		if each.model != nil {
			each.model.Close()
		}
	}

	f.network.close()
}
