package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

const (
	model   = "base"
	service = "booking"
	region  = "west"
)

// plan chooses the addresses, writes the settings files and fills f.plans.
func (f *Fleet) plan(ctx context.Context) error {
	for _, name := range f.listenerNames() {
		address, err := freeAddress(ctx)
		if err != nil {
			return err
		}

		f.addresses[name] = address
	}

	f.table, f.objects, f.vms, f.weights = f.URL("table"), f.URL("object"), f.URL("vms"), f.URL("weight")
	f.planStandins()

	for _, domain := range Domains {
		if err := f.planDomain(domain); err != nil {
			return err
		}
	}

	return nil
}

// listenerNames returns the names of the listeners that need an address.
func (f *Fleet) listenerNames() []string {
	names := []string{"table", "object", "weight", "vms"}

	for _, domain := range Domains {
		names = append(names, "engine-"+domain, "agent-engine-"+domain, "probe-engine-"+domain, "entry-"+domain, "peer-"+domain)

		if hasOrderServer(domain) {
			names = append(names, "order-"+domain, "agent-order-"+domain, "probe-order-"+domain)
		}
	}

	return names
}

func (f *Fleet) tokenTime() time.Duration {
	if f.TokenTime > 0 {
		return f.TokenTime
	}

	return defaultTokenTime
}

func hasOrderServer(domain string) bool {
	return domain != Domains[len(Domains)-1]
}

func (f *Fleet) planStandins() {
	f.planStandin("table", "/switch")
	f.planStandin("object", "/switch")
	f.planStandin("weight", "/switch")
	f.planStandin("vms", "/vms", "--lag", "200ms")
}

func (f *Fleet) planStandin(name, ready string, args ...string) {
	f.planStandinOfKind(name, name, ready, args...)
}

func (f *Fleet) planStandinOfKind(kind, name, ready string, args ...string) {
	full := append([]string{"standin", kind, "--listen", f.addresses[name]}, args...)
	f.plans = append(f.plans, processPlan{name: name, args: full, ready: f.URL(name) + ready})
}

func (f *Fleet) planDomain(domain string) error {
	engine := "engine-" + domain
	f.planStandinOfKind("engine", engine, "/info", "--weights", f.weights, "--model", model, "--token", f.tokenTime().String(), "--cold", "1s", "--fencing")

	if err := f.planAgent(engine, domain, settings.Agent{Engine: f.URL(engine)}); err != nil {
		return err
	}

	if hasOrderServer(domain) {
		order := "order-" + domain
		f.planStandinOfKind("order", order, "/record")

		if err := f.planAgent(order, domain, settings.Agent{Service: f.URL(order), Name: service}); err != nil {
			return err
		}
	}

	return f.planEntry(domain)
}

func (f *Fleet) planAgent(server, domain string, agent settings.Agent) error {
	agent.Place = settings.Place{VM: "vm-" + server, Domain: domain, Region: region}
	agent.Platform = settings.Platform{Table: f.table, Objects: f.objects, VMs: f.vms}
	agent.Server = server
	agent.Listen = f.addresses["agent-"+server]
	agent.Metrics = f.addresses["probe-"+server]

	return f.planProgram("agent", "agent-"+server, "probe-"+server, agent)
}

func (f *Fleet) planEntry(domain string) error {
	hash := sha256.Sum256([]byte(OperatorToken))
	entry := settings.Entry{
		Place:     settings.Place{VM: "vm-entry-" + domain, Domain: domain, Region: region},
		Platform:  settings.Platform{Table: f.table, Objects: f.objects, VMs: f.vms},
		Listen:    f.addresses["entry-"+domain],
		Peer:      f.addresses["peer-"+domain],
		Operators: []settings.Operator{{Name: "trial", Hash: hex.EncodeToString(hash[:])}},
	}

	return f.planProgram("entry", "entry-"+domain, "entry-"+domain, entry)
}

// planProgram writes the settings file of an agent or entry and adds the process to f.plans.
func (f *Fleet) planProgram(kind, name, probe string, content any) error {
	data, err := yaml.Marshal(content)
	if err != nil {
		return errors.Wrapf(err, "encode settings of %s", name)
	}

	path := filepath.Join(f.Dir, name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}

	f.plans = append(f.plans, processPlan{name: name, args: []string{kind, path}, ready: f.URL(probe) + "/readyz"})

	return nil
}

// vmList returns the VMs of the fleet as the platform lists them.
func (f *Fleet) vmList() []vms.VM {
	var list []vms.VM

	for _, domain := range Domains {
		engine := "engine-" + domain
		list = append(list,
			vms.VM{Name: "vm-entry-" + domain, Address: f.addresses["peer-"+domain], Domain: domain, Region: region, Role: vms.RoleEntry},
			f.agentVM(engine, domain, "model/"+model))

		if hasOrderServer(domain) {
			list = append(list, f.agentVM("order-"+domain, domain, "service/"+service))
		}
	}

	return list
}

func (f *Fleet) agentVM(server, domain, serves string) vms.VM {
	return vms.VM{
		Name:    "vm-" + server,
		Address: f.addresses["agent-"+server],
		Domain:  domain,
		Region:  region,
		Role:    vms.RoleAgent,
		Server:  server,
		Serves:  []string{serves},
	}
}

const (
	// The ports are below the kernel's ephemeral port range, so that no outgoing connection takes a chosen port before its
	// process listens on it.
	firstPort = 15000
	portCount = 15000
	portTries = 100
)

// reservedAddresses holds the addresses that the fleets of this process have chosen. A fleet listens on them only later, so
// that they would otherwise look free to another fleet.
var reservedAddresses sync.Map

// freeAddress returns a loopback address that was free when checked and that no fleet of this process has chosen.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig

	for range portTries {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(portCount)))
		if _, taken := reservedAddresses.LoadOrStore(address, true); taken {
			continue
		}

		listener, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			continue
		}

		return address, listener.Close()
	}

	return "", errors.Newf("no free port after %d tries", portTries)
}
