package bucket

import "sort"

// headroomGroup holds the smallest headroom, which is the capacity minus the level, since any of a group of consecutive
// debits.
type headroomGroup struct {
	// first is the oldest debit of the group.
	first DebitID
	// smallest is the smallest headroom, in units.
	smallest int64
	// open is the number of open debits of the group; at least 1.
	open int
}

// headroomStack is a monotonic stack of groups: from the oldest group to the newest, the smallest headroom grows strictly.
// The peak level since a debit is the capacity minus the smallest headroom of its group. The stack stores the headroom
// instead of the peak, because it stays correct when the capacity changes. Groups without open debits are removed, so that
// the stack is never larger than the number of open debits.
type headroomStack struct {
	groups []headroomGroup
	// open holds the amount of each open debit, in units.
	open map[DebitID]int64
}

// add opens a debit of the amount, after which the bucket has the headroom.
func (s *headroomStack) add(id DebitID, amount, headroom int64) {
	if s.open == nil {
		s.open = map[DebitID]int64{}
	}

	s.open[id] = amount
	s.groups = append(s.groups, headroomGroup{first: id, smallest: headroom, open: 1})
}

// limitTo records that the bucket has the headroom, which lowers the smallest headroom of older debits to it.
func (s *headroomStack) limitTo(headroom int64) {
	last := len(s.groups) - 1
	if last < 0 || s.groups[last].smallest <= headroom {
		return
	}

	for last > 0 && s.groups[last-1].smallest >= headroom {
		s.groups[last-1].open += s.groups[last].open
		s.groups = s.groups[:last]
		last--
	}

	s.groups[last].smallest = headroom
}

// close closes a debit and returns how much of the amount can be credited for it. The credit is subtracted from the headroom
// since that debit, because later refunds must not use the same headroom again.
func (s *headroomStack) close(id DebitID, amount int64) int64 {
	debited, ok := s.open[id]
	if !ok {
		return 0
	}

	delete(s.open, id)

	index := sort.Search(len(s.groups), func(i int) bool { return s.groups[i].first > id }) - 1
	credited := min(amount, debited, s.groups[index].smallest)
	s.groups[index].open--

	if credited > 0 {
		s.credit(index, credited)
	}

	if credited > 0 || s.groups[index].open == 0 {
		s.prune()
	}

	return credited
}

// credit subtracts the credit from the headroom of the group and of all newer ones, and limits the headroom of older ones
// to that of the group.
func (s *headroomStack) credit(index int, credited int64) {
	for i := index; i < len(s.groups); i++ {
		s.groups[i].smallest -= credited
	}

	for i := range index {
		s.groups[i].smallest = min(s.groups[i].smallest, s.groups[index].smallest)
	}
}

// prune removes groups without open debits and merges a group into the next older one if its headroom is not greater.
func (s *headroomStack) prune() {
	kept := s.groups[:0]

	for _, group := range s.groups {
		last := len(kept) - 1

		switch {
		case group.open == 0:
		case last >= 0 && kept[last].smallest >= group.smallest:
			kept[last].open += group.open
		default:
			kept = append(kept, group)
		}
	}

	s.groups = kept
}
