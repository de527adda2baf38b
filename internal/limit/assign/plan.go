package assign

import (
	"slices"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// maxHolders is the number of holders of an account when enough failure domains have entries.
const maxHolders = 3

// firstAssignment returns the first assignment of an account, the only one whose shares start full. It reports false if there
// is no eligible entry.
func firstAssignment(account string, entries []board.Holder) (board.Assignment, bool) {
	var holders []board.Holder

	for len(holders) < maxHolders {
		entry, ok := selectEntry(account, entries, holders)
		if !ok {
			break
		}

		entry.Since = 1
		entry.Full = true
		holders = append(holders, entry)
	}

	for i := range holders {
		holders[i].Share = evenShare(i, len(holders))
	}

	return board.Assignment{Account: account, Holders: holders}, len(holders) > 0
}

// evenShare returns the share of the holder at an index when the shares are even. The even shares add up to one million.
func evenShare(index, holders int) int64 {
	return terms.TotalShare*int64(index+1)/int64(holders) - terms.TotalShare*int64(index)/int64(holders)
}

// replaceHolders assigns the shares of ended holders to other entries, at the same position of the row, so that the ranges of
// the other holders stay the same. If every failure domain with an entry has a holder, a neighbour in the row gets the share.
func replaceHolders(current board.Assignment, entries []board.Holder, ended func(board.Holder) bool) (board.Assignment, bool) {
	next := current
	next.Holders = slices.Clone(current.Holders)

	var endedBoots []string

	for _, holder := range current.Holders {
		if ended(holder) {
			endedBoots = append(endedBoots, holder.Boot)
		}
	}

	changed := false

	for _, boot := range endedBoots {
		others := slices.DeleteFunc(slices.Clone(next.Holders), func(holder board.Holder) bool { return slices.Contains(endedBoots, holder.Boot) })
		reassigned := reassignShare(&next, boot, entries, others)
		changed = changed || reassigned
	}

	return next, changed
}

// reassignShare assigns one holder's share to an entry in a free failure domain, or else to a neighbour in the row that is
// among the others. It reports false if there is neither.
func reassignShare(next *board.Assignment, boot string, entries, others []board.Holder) bool {
	index := slices.IndexFunc(next.Holders, func(holder board.Holder) bool { return holder.Boot == boot })
	previous := next.Holders[index]

	if entry, ok := selectEntry(next.Account, entries, others); ok {
		entry.Share = previous.Share
		entry.Since = next.Epoch + 1
		next.Holders[index] = entry

		return true
	}

	for _, neighbour := range []int{index - 1, index + 1} {
		if neighbour < 0 || neighbour >= len(next.Holders) || !contains(others, next.Holders[neighbour].Boot) {
			continue
		}

		next.Holders[neighbour].Share += previous.Share
		next.Holders = slices.Delete(next.Holders, index, index+1)

		return true
	}

	return false
}

// contains reports whether one of the holders has the boot id.
func contains(holders []board.Holder, boot string) bool {
	return slices.ContainsFunc(holders, func(holder board.Holder) bool { return holder.Boot == boot })
}

// transfer is a change by which a holder gives part of its own share to another entry.
type transfer struct {
	// remaining is the range that the giving holder keeps.
	remaining terms.Range
	// next is the assignment after the transfer.
	next board.Assignment
}

// rebalance returns the next transfer towards even shares over up to three failure domains, if the process with the boot id
// is the one that gives. Parts are transferred only to a neighbour in the row, so that every other range stays the same.
func rebalance(current board.Assignment, entries []board.Holder, boot string) (transfer, bool) {
	index := slices.IndexFunc(current.Holders, func(holder board.Holder) bool { return holder.Boot == boot })
	if index < 0 || index != largestShare(current.Holders) {
		return transfer{}, false
	}

	entry, ok := selectEntry(current.Account, entries, current.Holders)
	if ok && len(current.Holders) < maxHolders {
		return addHolder(current, index, entry), true
	}

	return balanceNeighbour(current, index)
}

// addHolder inserts a new holder after the one at the index and transfers to it what exceeds the even share of the latter.
func addHolder(current board.Assignment, index int, entry board.Holder) transfer {
	next := current
	next.Holders = slices.Clone(current.Holders)

	moved := next.Holders[index].Share - terms.TotalShare/int64(len(next.Holders)+1)
	next.Holders[index].Share -= moved
	entry.Share = moved
	entry.Since = current.Epoch + 1
	next.Holders = slices.Insert(next.Holders, index+1, entry)

	return transfer{remaining: terms.RangeOf(next, index), next: next}
}

// balanceNeighbour transfers what exceeds the even share of the holder at the index to a neighbour that is below its own.
func balanceNeighbour(current board.Assignment, index int) (transfer, bool) {
	next := current
	next.Holders = slices.Clone(current.Holders)
	even := terms.TotalShare / int64(len(next.Holders))

	for _, neighbour := range []int{index - 1, index + 1} {
		if neighbour < 0 || neighbour >= len(next.Holders) {
			continue
		}

		moved := min(next.Holders[index].Share-even, even-next.Holders[neighbour].Share)
		if moved <= int64(len(next.Holders)) {
			continue
		}

		next.Holders[index].Share -= moved
		next.Holders[neighbour].Share += moved
		remaining := terms.RangeOf(next, index)

		return transfer{remaining: remaining, next: next}, true
	}

	return transfer{}, false
}

// largestShare returns the index of the first of the largest shares.
func largestShare(holders []board.Holder) int {
	best := 0

	for i, holder := range holders {
		if holder.Share > holders[best].Share {
			best = i
		}
	}

	return best
}
