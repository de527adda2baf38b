package follow

import (
	"maps"
	"slices"

	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

// entryIndex holds the entries of the VM list. It is built once for each list, because every call to or from a peer needs it
// and a list may have more than a thousand VMs.
type entryIndex struct {
	// version is the board's version of the VM list.
	version int64
	// others are the entries except this one.
	others []vms.VM
	// addresses is the set of the addresses of others.
	addresses map[string]bool
	// byDomain groups others by failure domain, and peerDomains has its keys in order.
	byDomain    map[string][]vms.VM
	peerDomains []string
	// domains are the failure domains that have entries, this one included.
	domains []string
}

// entryIndex returns the index of the VM list on the board.
func (f *Follower) entryIndex() *entryIndex {
	list, version := f.Board.VMs.Get()

	// Concurrent calls may build the same index twice, which is harmless.
	if cached := f.cachedEntries.Load(); cached != nil && cached.version == version {
		return cached
	}

	index := &entryIndex{version: version, addresses: map[string]bool{}, byDomain: map[string][]vms.VM{}}

	for _, vm := range list.VMs {
		if vm.Role == vms.RoleEntry {
			index.add(vm, vm.Address == f.Self.Address)
		}
	}

	index.peerDomains = slices.Sorted(maps.Keys(index.byDomain))
	f.cachedEntries.Store(index)

	return index
}

func (e *entryIndex) add(vm vms.VM, own bool) {
	if !slices.Contains(e.domains, vm.Domain) {
		e.domains = append(e.domains, vm.Domain)
	}

	if own {
		return
	}

	e.others = append(e.others, vm)
	e.addresses[vm.Address] = true
	e.byDomain[vm.Domain] = append(e.byDomain[vm.Domain], vm)
}

// entryDomains returns the failure domains that have entries; nil in an agent.
func (f *Follower) entryDomains() []string {
	if f.PeerClient == nil {
		return nil
	}

	return f.entryIndex().domains
}
