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
	// reportLag is the delay of load reports.
	reportLag = 500 * time.Millisecond
	// coldTime is the duration of the cold start at each boot.
	coldTime = 10 * time.Second
	// listLag is the delay until a change of the VM list is visible.
	listLag       = 500 * time.Millisecond
	operatorToken = "soak-operator-token"
	tokenTime     = 10 * time.Millisecond
)

// domains are the failure domains; each has an entry.
var domains = []string{"a", "b", "c"}

// Fleet is a fleet of entries, agents and backend servers in one process.
type Fleet struct {
	network *Network
	record  *Record
	table   *tableService
	objects *objectStore
	list    *listed.Server
	weights *weight.Store
	keys    map[string][]credential

	mu       sync.Mutex
	entries  map[string]*process
	backends []*backend
	// allBackends are the backend servers that have ever run.
	allBackends []*backend
	// processes are the processes that have ever run.
	processes []*process
	count     int
}

func newFleet() *Fleet {
	return &Fleet{
		network: newNetwork(),
		record:  newRecord(),
		table:   &tableService{},
		objects: &objectStore{},
		list:    &listed.Server{Lag: listLag},
		weights: &weight.Store{},
		entries: map[string]*process{},
	}
}

// start commits the fleet document and starts every process.
func (f *Fleet) start(ctx context.Context) error {
	wanted, credentials := newDocument()
	f.keys = credentials

	for _, accountKeys := range credentials {
		for _, each := range accountKeys {
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

// nextNumber returns a number that is unique in the fleet, for names.
func (f *Fleet) nextNumber() int {
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
		Table:   &tableClient{network: f.network, process: owner, tables: f.table},
		Objects: f.objects,
		VMs:     &listClient{network: f.network, process: owner, list: f.list},
	}
}

func entryName(domain string) string { return "entry-" + domain }

// startEntry starts or restarts the entry of a failure domain on its VM.
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
	number := f.nextNumber()
	model := standin.New(standin.Config{
		Models: []string{modelName}, Slots: engineSlots, BatchSize: engineBatch, TokenTime: tokenTime, ReportLag: reportLag,
		Fencing: number%2 == 0, ColdTime: coldTime, ColdLimit: coldLimit, Fetch: f.weights.Load,
	})
	made := &backend{name: fmt.Sprintf("engine-%d", number), vm: fmt.Sprintf("vm-%d", number), domain: domain, model: model}

	f.mu.Lock()
	f.backends = append(f.backends, made)
	f.allBackends = append(f.allBackends, made)
	f.mu.Unlock()

	f.startAgent(made)
}

func (f *Fleet) addOrders(domain string) {
	number := f.nextNumber()
	made := &backend{name: fmt.Sprintf("orders-%d", number), vm: fmt.Sprintf("vm-%d", number), domain: domain, orders: &order.Server{}}

	f.mu.Lock()
	f.backends = append(f.backends, made)
	f.allBackends = append(f.allBackends, made)
	f.mu.Unlock()

	f.startAgent(made)
}

// startAgent starts or restarts the agent of a backend server on its VM.
func (f *Fleet) startAgent(b *backend) {
	made := newProcess(b.vm, b.domain)
	server := &agent.Server{Listener: f.network.listen(b.address(), made)}
	server.Settings.Place = settings.Place{VM: b.vm, Domain: b.domain}
	server.Settings.Server = b.name
	server.Settings.Listen = b.address()

	if b.model != nil {
		server.Engine = &engineClient{Server: b.model, network: f.network, record: f.record, process: made, backend: b}
	} else {
		server.Service = &orderClient{network: f.network, record: f.record, process: made, backend: b}
		server.Settings.Name = serviceName
	}

	f.list.Put(b.vmEntry(false))
	compose.ConfigureAgent(server, f.platform(made), f.network.dialer(made))
	made.run(f.network, server.Run)
	f.track(made)

	f.mu.Lock()
	defer f.mu.Unlock()

	b.agent = made
}

// vmEntry returns the entry of the backend server's VM on the VM list.
func (b *backend) vmEntry(terminating bool) vms.VM {
	serves := "service/" + serviceName
	if b.model != nil {
		serves = "model/" + modelName
	}

	return vms.VM{
		Name: b.vm, Address: b.address(), Domain: b.domain, Role: vms.RoleAgent, Server: b.name,
		Serves: []string{serves}, Terminating: terminating,
	}
}

// servers returns the current backend servers, or only the engines among them.
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

// markBecameCold marks an engine that becomes cold while it runs.
func (f *Fleet) markBecameCold(b *backend) {
	f.mu.Lock()
	defer f.mu.Unlock()

	b.becameCold = true
}

// remove removes a backend server and its VM from the fleet.
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

// stop stops every process and waits until all goroutines have ended.
func (f *Fleet) stop() {
	f.network.restore()

	for _, each := range f.processes {
		each.stop()
	}

	for _, each := range f.processes {
		<-each.done
	}

	for _, each := range f.allBackends {
		if each.model != nil {
			each.model.Close()
		}
	}

	f.network.close()
}
