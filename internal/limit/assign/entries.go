package assign

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// maxContactAge is the maximum time since the last contact with an entry for it to be chosen as a holder.
const maxContactAge = 10 * time.Second

// eligibleEntries returns the entry processes that can become holders: listed, not draining, not taken out of service, with a
// known boot id and recent contact.
func (c *Controller) eligibleEntries() []board.Holder {
	list := c.Board.VMs.Value()
	peers := c.Board.Peers.Value()
	found := make([]board.Holder, 0, len(peers)+1)

	for _, vm := range list.VMs {
		if !c.eligible(vm) {
			continue
		}

		boot := c.bootID(vm.Address, peers)
		if boot == "" {
			continue
		}

		entry := board.Holder{VM: vm.Name, Address: vm.Address, Boot: boot, Domain: vm.Domain, Listed: list.Sequence}
		found = append(found, entry)
	}

	return found
}

// bootID returns the boot id of the entry at an address, or "" if the entry is draining or has no recent contact.
func (c *Controller) bootID(address string, peers map[string]board.Peer) string {
	if address == c.Self.Address {
		if c.Board.Draining.Value() {
			return ""
		}

		return c.Self.Boot
	}

	peer := peers[address]
	if time.Since(peer.LastContact) > maxContactAge {
		return ""
	}

	return peer.Boot
}

// eligibleDomains returns the number of failure domains in which the VM list has eligible VMs.
func (c *Controller) eligibleDomains() int {
	found := map[string]bool{}

	for _, vm := range c.Board.VMs.Value().VMs {
		if c.eligible(vm) {
			found[vm.Domain] = true
		}
	}

	return len(found)
}

// eligible reports whether entries on the VM can become holders.
func (c *Controller) eligible(vm vms.VM) bool {
	doc := c.Board.Document.Value()
	out := doc != nil && (doc.Domains[vm.Domain].Out || doc.VMs[vm.Name].Out)

	return vm.Role == vms.RoleEntry && !vm.Terminating && !out
}

// ended reports whether a holder is known to have ended: a VM list later than the one that had its VM lacks it, or another
// process replies at its address. A missing reply does not prove that the holder has ended.
func (c *Controller) ended(ctx context.Context, holder board.Holder) bool {
	if holder.Boot == c.Self.Boot {
		return false
	}

	if c.removedFromList(holder) {
		return true
	}

	if holder.Address == c.Self.Address {
		return true
	}

	if peer := c.Board.Peers.Value()[holder.Address]; peer.Boot == "" || peer.Boot == holder.Boot {
		return false
	}

	return c.hasSuccessor(ctx, holder)
}

// removedFromList reports whether the holder's VM was listed before and no longer is.
func (c *Controller) removedFromList(holder board.Holder) bool {
	list := c.Board.VMs.Value()

	return list.Sequence > holder.Listed && !slices.ContainsFunc(list.VMs, func(vm vms.VM) bool { return vm.Name == holder.VM })
}

// hasSuccessor queries the boot id of the process at the holder's address and reports whether it differs from the holder's.
// The boot id on the board is not enough, because it may be that of the process before the holder. That process cannot reply
// to a call that started after the row was read.
func (c *Controller) hasSuccessor(ctx context.Context, holder board.Holder) bool {
	if c.FetchBootID == nil {
		return false
	}

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	boot, err := c.FetchBootID(ctx, holder.Address)

	return err == nil && boot != "" && boot != holder.Boot
}

// rankEntries returns the entries in the order of rendezvous hashing for the account, the preferred one first. The hash does
// not include the boot id of a process, so that a restarted process keeps its rank.
func rankEntries(account string, entries []board.Holder) []board.Holder {
	order := slices.Clone(entries)

	slices.SortFunc(order, func(x, y board.Holder) int {
		if byHash := cmp.Compare(hashScore(account, y), hashScore(account, x)); byHash != 0 {
			return byHash
		}

		return cmp.Compare(x.VM, y.VM)
	})

	return order
}

// hashScore returns the rendezvous hash of an account and an entry.
func hashScore(account string, entry board.Holder) uint64 {
	return xxhash.Sum64String(account + "\x00" + entry.VM)
}

// selectEntry returns the preferred entry among those whose failure domain has none of the holders. It reports false if there
// is none.
func selectEntry(account string, entries, holders []board.Holder) (board.Holder, bool) {
	for _, entry := range rankEntries(account, entries) {
		taken := slices.ContainsFunc(holders, func(holder board.Holder) bool { return holder.Domain == entry.Domain })
		if !taken {
			return entry, true
		}
	}

	return board.Holder{}, false
}
