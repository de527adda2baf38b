// Package member combines the VM list, the configuration and circuit breakers into the view of usable backend servers.
package member

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

const (
	// rampUpTime is the time in which the weight of a failure domain or VM that returns to service grows to 1.
	rampUpTime = 30 * time.Second
	// rampUpSteps is the number of weight changes during rampUpTime; each one discards the cached rankings.
	rampUpSteps = 10
)

// Server is one backend server that may receive new work.
type Server struct {
	// Name is the name of the backend server.
	Name string
	// VM is the platform's name of the VM.
	VM string
	// Address is the drpc address of the agent.
	Address string
	Domain  string
	Region  string
	// Serves lists "model/<name>" and "service/<name>".
	Serves []string
	// Weight is the capacity relative to the fleet's default, reduced while the server returns to service; above 0.
	Weight float64
	// Breaker is shared by all views that contain the server at this address.
	Breaker *Breaker
}

// equal reports whether all fields are equal. Comparison by reflection would take most of the time of Refresh, which runs
// every second.
func (s *Server) equal(other *Server) bool {
	return s.Name == other.Name &&
		s.VM == other.VM &&
		s.Address == other.Address &&
		s.Domain == other.Domain &&
		s.Region == other.Region &&
		slices.Equal(s.Serves, other.Serves) &&
		s.Weight == other.Weight &&
		s.Breaker == other.Breaker
}

// View is the set of backend servers that may receive new work. It is immutable, except for the breakers.
type View struct {
	Servers      []*Server
	byCapability map[string][]*Server
	byName       map[string]*Server
}

// NewView returns a view of the servers, indexed by name and by what they serve.
func NewView(servers []*Server) *View {
	view := &View{Servers: servers, byCapability: map[string][]*Server{}, byName: map[string]*Server{}}

	for _, server := range servers {
		view.byName[server.Name] = server

		for _, capability := range server.Serves {
			view.byCapability[capability] = append(view.byCapability[capability], server)
		}
	}

	return view
}

// Serving returns the servers that have the capability, "model/<name>" or "service/<name>".
func (v *View) Serving(capability string) []*Server {
	return v.byCapability[capability]
}

// Server returns the server with the name, or nil.
func (v *View) Server(name string) *Server {
	return v.byName[name]
}

// Merge returns the servers that are listed, not terminating and not out of service, sorted by name.
func Merge(list vms.List, doc *document.Document, breakers *Breakers, now time.Time) []*Server {
	var servers []*Server

	for _, vm := range list.VMs {
		if vm.Role != vms.RoleAgent || vm.Terminating {
			continue
		}

		weight := weightOf(vm, doc, now)
		if weight == 0 {
			continue
		}

		servers = append(servers, &Server{
			Name:    vm.Server,
			VM:      vm.Name,
			Address: vm.Address,
			Domain:  vm.Domain,
			Region:  vm.Region,
			Serves:  vm.Serves,
			Weight:  weight,
			Breaker: breakers.For(vm.Address),
		})
	}

	return unique(servers)
}

// unique sorts servers by name and keeps one of each name; during a replacement the platform may list two VMs for a server.
func unique(servers []*Server) []*Server {
	slices.SortFunc(servers, func(a, b *Server) int {
		return compare(a.Name, b.Name, a.VM, b.VM)
	})

	return slices.CompactFunc(servers, func(a, b *Server) bool { return a.Name == b.Name })
}

// compare compares pairs of strings in order; the first pair that differs decides.
func compare(pairs ...string) int {
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i] < pairs[i+1] {
			return -1
		}

		if pairs[i] > pairs[i+1] {
			return 1
		}
	}

	return 0
}

// weightOf returns the weight of a server; 0 if its VM or failure domain is out of service.
func weightOf(vm vms.VM, doc *document.Document, now time.Time) float64 {
	if doc == nil {
		return 1
	}

	domain, state := doc.Domains[vm.Domain], doc.VMs[vm.Name]
	if domain.Out || state.Out {
		return 0
	}

	return capacity(vm, doc) * min(rampUpFactor(domain.Since, now), rampUpFactor(state.Since, now))
}

// capacity returns the configured concurrency limit of the server relative to the default. It comes from the document and
// not from load reports, so that all entries compute the same rankings.
func capacity(vm vms.VM, doc *document.Document) float64 {
	limit := doc.Resolve(document.Query{Domain: vm.Domain, Server: vm.Server}).Limit
	if limit < 1 || doc.Default.Limit < 1 {
		return 1
	}

	return float64(limit) / float64(doc.Default.Limit)
}

// rampUpFactor grows in steps from 1/rampUpSteps to 1 during rampUpTime after since. Since may have been set by another
// clock, so a time in the future counts as now.
func rampUpFactor(since, now time.Time) float64 {
	if since.IsZero() {
		return 1
	}

	elapsed := max(now.Sub(since), 0)
	if elapsed >= rampUpTime {
		return 1
	}

	step := int(elapsed*rampUpSteps/rampUpTime) + 1

	return float64(step) / rampUpSteps
}
