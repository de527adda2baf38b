package bucket

import "sort"

// room is the least distance between level and cap since each debit of a group of consecutive debits.
type room struct {
	// first is the oldest debit of the group.
	first DebitID
	// least is in units.
	least int64
	// open is the number of open debits of the group; at least 1.
	open int
}

// rooms is a monotone stack: from the oldest group to the newest, least grows strictly. A debit's peak level is cap
// minus least, and keeping the distance instead of the peak stays right when the cap changes. Groups without open
// debits are removed, so that the stack is never larger than the number of open debits.
type rooms struct {
	groups []room
	// open holds the amount of each open debit, in units.
	open map[DebitID]int64
}

// add opens a debit of the amount, after which the level is distance below the cap.
func (r *rooms) add(mark DebitID, amount, distance int64) {
	if r.open == nil {
		r.open = map[DebitID]int64{}
	}

	r.open[mark] = amount
	r.groups = append(r.groups, room{first: mark, least: distance, open: 1})
}

// lower records that the level came as close as distance to the cap.
func (r *rooms) lower(distance int64) {
	last := len(r.groups) - 1
	if last < 0 || r.groups[last].least <= distance {
		return
	}

	for last > 0 && r.groups[last-1].least >= distance {
		r.groups[last-1].open += r.groups[last].open
		r.groups = r.groups[:last]
		last--
	}

	r.groups[last].least = distance
}

// take closes a debit and returns how much of the amount can be credited for it. From then on the levels since that
// debit count as higher by the credit, because later refunds must not use the same room again.
func (r *rooms) take(mark DebitID, amount int64) int64 {
	debited, ok := r.open[mark]
	if !ok {
		return 0
	}

	delete(r.open, mark)

	at := sort.Search(len(r.groups), func(i int) bool { return r.groups[i].first > mark }) - 1
	credited := min(amount, debited, r.groups[at].least)
	r.groups[at].open--

	if credited > 0 {
		r.credit(at, credited)
	}

	if credited > 0 || r.groups[at].open == 0 {
		r.prune()
	}

	return credited
}

// credit reduces the distance of the group and of all newer ones, and limits that of older ones to the group's.
func (r *rooms) credit(at int, credited int64) {
	for i := at; i < len(r.groups); i++ {
		r.groups[i].least -= credited
	}

	for i := range at {
		r.groups[i].least = min(r.groups[i].least, r.groups[at].least)
	}
}

// prune removes groups without open debits and merges groups with equal distances.
func (r *rooms) prune() {
	kept := r.groups[:0]

	for _, group := range r.groups {
		last := len(kept) - 1

		switch {
		case group.open == 0:
		case last >= 0 && kept[last].least >= group.least:
			kept[last].open += group.open
		default:
			kept = append(kept, group)
		}
	}

	r.groups = kept
}
