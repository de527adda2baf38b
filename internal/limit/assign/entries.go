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

// contactAge is how long ago an entry may have answered last to be chosen as a holder.
const contactAge = 10 * time.Second

// entries returns the entry processes that can become holders: listed, not leaving, not taken out of service, with a
// known boot id and recent contact.
func (a *Controller) entries() []board.Holder {
	list := a.Board.VMs.Value()
	peers := a.Board.Peers.Value()
	found := make([]board.Holder, 0, len(peers)+1)

	for _, vm := range list.VMs {
		if !a.usable(vm) {
			continue
		}

		boot := a.bootOf(vm.Address, peers)
		if boot == "" {
			continue
		}

		entry := board.Holder{VM: vm.Name, Address: vm.Address, Boot: boot, Domain: vm.Domain, Listed: list.Sequence}
		found = append(found, entry)
	}

	return found
}

func (a *Controller) bootOf(address string, peers map[string]board.Peer) string {
	if address == a.Self.Address {
		if a.Board.Draining.Value() {
			return ""
		}

		return a.Self.Boot
	}

	peer := peers[address]
	if time.Since(peer.LastContact) > contactAge {
		return ""
	}

	return peer.Boot
}

// domains returns the number of failure domains in which the list has entries that can become holders.
func (a *Controller) domains() int {
	found := map[string]bool{}

	for _, vm := range a.Board.VMs.Value().VMs {
		if a.usable(vm) {
			found[vm.Domain] = true
		}
	}

	return len(found)
}

func (a *Controller) usable(vm vms.VM) bool {
	doc := a.Board.Document.Value()
	out := doc != nil && (doc.Domains[vm.Domain].Out || doc.VMs[vm.Name].Out)

	return vm.Role == vms.RoleEntry && !vm.Leaving && !out
}

// gone reports whether a holder is known to have ended: a VM list later than the one that had its VM lacks it, or
// another process answers at its address. No answer proves nothing.
func (a *Controller) gone(ctx context.Context, holder board.Holder) bool {
	if holder.Boot == a.Self.Boot {
		return false
	}

	if a.left(holder) {
		return true
	}

	if holder.Address == a.Self.Address {
		return true
	}

	if peer := a.Board.Peers.Value()[holder.Address]; peer.Boot == "" || peer.Boot == holder.Boot {
		return false
	}

	return a.succeeded(ctx, holder)
}

func (a *Controller) left(holder board.Holder) bool {
	list := a.Board.VMs.Value()

	return list.Sequence > holder.Listed && !slices.ContainsFunc(list.VMs, func(vm vms.VM) bool { return vm.Name == holder.VM })
}

// succeeded asks the process at the holder's address for its boot id. The board may still have the boot id of the
// process before the holder; an answer to a call that began after the row was read cannot come from that one.
func (a *Controller) succeeded(ctx context.Context, holder board.Holder) bool {
	if a.FetchBootID == nil {
		return false
	}

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	boot, err := a.FetchBootID(ctx, holder.Address)

	return err == nil && boot != "" && boot != holder.Boot
}

// ranked returns the entries by rendezvous hashing for the account, the first choice first. A process's boot id takes
// no part, so that a successor gets its predecessor's place.
func ranked(account string, entries []board.Holder) []board.Holder {
	order := slices.Clone(entries)

	slices.SortFunc(order, func(x, y board.Holder) int {
		if byHash := cmp.Compare(score(account, y), score(account, x)); byHash != 0 {
			return byHash
		}

		return cmp.Compare(x.VM, y.VM)
	})

	return order
}

func score(account string, entry board.Holder) uint64 {
	return xxhash.Sum64String(account + "\x00" + entry.VM)
}

// spare returns the first choice among the entries whose failure domain has none of the holders.
func spare(account string, entries, holders []board.Holder) (board.Holder, bool) {
	for _, entry := range ranked(account, entries) {
		taken := slices.ContainsFunc(holders, func(holder board.Holder) bool { return holder.Domain == entry.Domain })
		if !taken {
			return entry, true
		}
	}

	return board.Holder{}, false
}
