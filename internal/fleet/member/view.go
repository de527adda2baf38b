// Package member merges the VM list, the configuration and the results of contact into the view of usable backend servers.
package member

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

const (
	// returnTime is how long the weight of a returning failure domain or VM grows to 1.
	returnTime = 30 * time.Second
	// returnSteps is the number of weight changes during returnTime; each one discards the cached rankings.
	returnSteps = 10
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
	// Weight is above 0: the capacity relative to the fleet's default, reduced while the server returns to service.
	Weight float64
	// Breaker is shared by every view that lists the server at this address.
	Breaker *Breaker
}

// equal compares all fields. Reflection would take most of the time of a look at the members, which entries take each
// second.
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

// View is the set of backend servers that may receive new work. It is immutable, except for Breaker.
type View struct {
	Servers []*Server
	offers  map[string][]*Server
	names   map[string]*Server
}

// NewView indexes the servers.
func NewView(servers []*Server) *View {
	view := &View{Servers: servers, offers: map[string][]*Server{}, names: map[string]*Server{}}

	for _, server := range servers {
		view.names[server.Name] = server

		for _, offer := range server.Serves {
			view.offers[offer] = append(view.offers[offer], server)
		}
	}

	return view
}

// Serving returns the servers that serve "model/<name>" or "service/<name>".
func (v *View) Serving(offer string) []*Server {
	return v.offers[offer]
}

// Server returns the server with the name, or nil.
func (v *View) Server(name string) *Server {
	return v.names[name]
}

// Merge returns the servers that are listed, not leaving, and not taken out of service, ordered by name.
func Merge(list vms.List, doc *document.Document, contacts *Breakers, now time.Time) []*Server {
	var servers []*Server

	for _, vm := range list.VMs {
		if vm.Role != vms.RoleAgent || vm.Leaving {
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
			Breaker: contacts.For(vm.Address),
		})
	}

	return unique(servers)
}

// unique orders servers by name and keeps one of each; during a replacement the platform may list two VMs for a server.
func unique(servers []*Server) []*Server {
	slices.SortFunc(servers, func(a, b *Server) int {
		return compare(a.Name, b.Name, a.VM, b.VM)
	})

	return slices.CompactFunc(servers, func(a, b *Server) bool { return a.Name == b.Name })
}

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

// weightOf returns 0 for a VM that is out of service, and a growing weight while it returns.
func weightOf(vm vms.VM, doc *document.Document, now time.Time) float64 {
	if doc == nil {
		return 1
	}

	domain, state := doc.Domains[vm.Domain], doc.VMs[vm.Name]
	if domain.Out || state.Out {
		return 0
	}

	return capacity(vm, doc) * min(returning(domain.Since, now), returning(state.Since, now))
}

// capacity is the configured concurrency limit of the server relative to the default. It comes from the document and not
// from load reports, so that all entries rank alike.
func capacity(vm vms.VM, doc *document.Document) float64 {
	limit := doc.Resolve(document.Query{Domain: vm.Domain, Server: vm.Server}).Limit
	if limit < 1 || doc.Default.Limit < 1 {
		return 1
	}

	return float64(limit) / float64(doc.Default.Limit)
}

// returning grows in steps from 1/returnSteps to 1 during returnTime after since. Since was set by another clock, so a
// moment in the future counts as now.
func returning(since, now time.Time) float64 {
	if since.IsZero() {
		return 1
	}

	elapsed := max(now.Sub(since), 0)
	if elapsed >= returnTime {
		return 1
	}

	step := int(elapsed*returnSteps/returnTime) + 1

	return float64(step) / returnSteps
}
