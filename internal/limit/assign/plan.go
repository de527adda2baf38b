package assign

import (
	"slices"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// maxHolders is the number of holders of an account when enough failure domains have entries.
const maxHolders = 3

// first returns the first assignment of an account, the only one whose shares start full.
func first(account string, entries []board.Holder) (board.Assignment, bool) {
	var holders []board.Holder

	for len(holders) < maxHolders {
		entry, ok := spare(account, entries, holders)
		if !ok {
			break
		}

		entry.Since = 1
		entry.Full = true
		holders = append(holders, entry)
	}

	for i := range holders {
		holders[i].Share = goal(i, len(holders))
	}

	return board.Assignment{Account: account, Holders: holders}, len(holders) > 0
}

// goal returns the share of the holder at an index when shares are even; they add up to one million.
func goal(index, holders int) int64 {
	return terms.TotalShare*int64(index+1)/int64(holders) - terms.TotalShare*int64(index)/int64(holders)
}

// replace gives the shares of gone holders to other entries, in the same place of the row so that the ranges of the
// others stay the same. Without a free failure domain a neighbour in the row takes the share over.
func replace(current board.Assignment, entries []board.Holder, gone func(board.Holder) bool) (board.Assignment, bool) {
	next := current
	next.Holders = slices.Clone(current.Holders)

	var lost []string

	for _, holder := range current.Holders {
		if gone(holder) {
			lost = append(lost, holder.Boot)
		}
	}

	changed := false

	for _, boot := range lost {
		others := slices.DeleteFunc(slices.Clone(next.Holders), func(holder board.Holder) bool { return slices.Contains(lost, holder.Boot) })
		handed := handOver(&next, boot, entries, others)
		changed = changed || handed
	}

	return next, changed
}

// handOver gives one holder's share to a spare entry, or else to a neighbour among the others. It reports false if
// there is neither.
func handOver(next *board.Assignment, boot string, entries, others []board.Holder) bool {
	index := slices.IndexFunc(next.Holders, func(holder board.Holder) bool { return holder.Boot == boot })
	given := next.Holders[index]

	if entry, ok := spare(next.Account, entries, others); ok {
		entry.Share = given.Share
		entry.Since = next.Epoch + 1
		next.Holders[index] = entry

		return true
	}

	for _, neighbour := range []int{index - 1, index + 1} {
		if neighbour < 0 || neighbour >= len(next.Holders) || !contains(others, next.Holders[neighbour].Boot) {
			continue
		}

		next.Holders[neighbour].Share += given.Share
		next.Holders = slices.Delete(next.Holders, index, index+1)

		return true
	}

	return false
}

func contains(holders []board.Holder, boot string) bool {
	return slices.ContainsFunc(holders, func(holder board.Holder) bool { return holder.Boot == boot })
}

// move is a change by which a holder gives part of its own share away.
type move struct {
	// keep is the range that the giver keeps.
	keep terms.Range
	next board.Assignment
}

// even returns the next step towards even shares over up to three failure domains, if it is the process with the boot
// id that gives. Parts go to a neighbour in the row only, so that every other range stays the same.
func even(current board.Assignment, entries []board.Holder, boot string) (move, bool) {
	index := slices.IndexFunc(current.Holders, func(holder board.Holder) bool { return holder.Boot == boot })
	if index < 0 || index != largest(current.Holders) {
		return move{}, false
	}

	entry, ok := spare(current.Account, entries, current.Holders)
	if ok && len(current.Holders) < maxHolders {
		return admit(current, index, entry), true
	}

	return level(current, index)
}

// admit inserts a new holder after the giver, with what exceeds the giver's even share.
func admit(current board.Assignment, index int, entry board.Holder) move {
	next := current
	next.Holders = slices.Clone(current.Holders)

	given := next.Holders[index].Share - terms.TotalShare/int64(len(next.Holders)+1)
	next.Holders[index].Share -= given
	entry.Share = given
	entry.Since = current.Epoch + 1
	next.Holders = slices.Insert(next.Holders, index+1, entry)

	return move{keep: terms.RangeOf(next, index), next: next}
}

// level gives what exceeds the giver's even share to a neighbour that is below its own.
func level(current board.Assignment, index int) (move, bool) {
	next := current
	next.Holders = slices.Clone(current.Holders)
	fair := terms.TotalShare / int64(len(next.Holders))

	for _, neighbour := range []int{index - 1, index + 1} {
		if neighbour < 0 || neighbour >= len(next.Holders) {
			continue
		}

		given := min(next.Holders[index].Share-fair, fair-next.Holders[neighbour].Share)
		if given <= int64(len(next.Holders)) {
			continue
		}

		next.Holders[index].Share -= given
		next.Holders[neighbour].Share += given
		keep := terms.RangeOf(next, index)

		return move{keep: keep, next: next}, true
	}

	return move{}, false
}

// largest returns the index of the first of the largest shares.
func largest(holders []board.Holder) int {
	best := 0

	for i, holder := range holders {
		if holder.Share > holders[best].Share {
			best = i
		}
	}

	return best
}
