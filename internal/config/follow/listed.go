package follow

import (
	"maps"
	"slices"

	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

// listed is what the VM list says of entries. It is made once for each list, because every call to or from a peer needs it
// and a list may have more than a thousand VMs.
type listed struct {
	// version is that of the list on the board.
	version int64
	// others are the entries but this one.
	others []vms.VM
	// addresses has the addresses of others.
	addresses map[string]bool
	// byDomain groups others by failure domain, and peerDomains has its keys in order.
	byDomain    map[string][]vms.VM
	peerDomains []string
	// domains are the failure domains that have entries, this one included.
	domains []string
}

// listed returns the entries of the list on the board.
func (f *Follower) listed() *listed {
	list, version := f.Board.VMs.Get()

	// Two calls may make the same value at once, which is harmless.
	if known := f.entries.Load(); known != nil && known.version == version {
		return known
	}

	made := &listed{version: version, addresses: map[string]bool{}, byDomain: map[string][]vms.VM{}}

	for _, vm := range list.VMs {
		if vm.Role == vms.RoleEntry {
			made.add(vm, vm.Address == f.Self.Address)
		}
	}

	made.peerDomains = slices.Sorted(maps.Keys(made.byDomain))
	f.entries.Store(made)

	return made
}

func (l *listed) add(vm vms.VM, own bool) {
	if !slices.Contains(l.domains, vm.Domain) {
		l.domains = append(l.domains, vm.Domain)
	}

	if own {
		return
	}

	l.others = append(l.others, vm)
	l.addresses[vm.Address] = true
	l.byDomain[vm.Domain] = append(l.byDomain[vm.Domain], vm)
}

// entryDomains returns the failure domains that have entries; none in an agent.
func (f *Follower) entryDomains() []string {
	if f.PeerClient == nil {
		return nil
	}

	return f.listed().domains
}
