// Package agreement divides what a holder grants while entries follow different lists of servers. Each entry finds the holder of a client account,
// or of the limit of a server, from its own list, so that entries with different lists may choose two holders. Each of them grants the share of
// the entries that choose it, so that both together grant no more than one.
package agreement

import "slices"

// maxClaims is the number of lists that are remembered for each holding, the latest ones.
const maxClaims = 8

// Claim is the statement of an entry that has chosen a holder.
type Claim struct {
	// List is the digest of the list by which the entry has chosen the holder; 0 if the entry does not state it.
	List uint64
	// Entries is the number of entries that the entry knows to be alive; 0 if it does not state it.
	Entries int
}

// Followers counts the connected entries by the list that they follow. It is not safe for concurrent use.
type Followers struct {
	byList    map[uint64]int
	connected int
}

// Set sets the lists of all connected entries; 0 stands for that of an entry that does not state it.
func (f *Followers) Set(lists []uint64) {
	f.byList = make(map[uint64]int, 1)
	f.connected = len(lists)

	for _, list := range lists {
		f.byList[list]++
	}
}

// Lists returns the number of different lists that entries state.
func (f *Followers) Lists() int {
	count := len(f.byList)
	if f.byList[0] > 0 {
		count--
	}

	return count
}

// Part is the part of the entries that choose one holder. In the zero value all do.
type Part struct {
	// Alive is the number of entries that are alive, as far as is known.
	Alive int
	// Others is the number of those that may have chosen another holder; less than Alive, unless both are 0.
	Others int
}

// Share returns the share of the entries that choose the holder; 1 if all do.
func (p Part) Share() float64 {
	if p.Others == 0 {
		return 1
	}

	return float64(p.Alive-p.Others) / float64(p.Alive)
}

// Claimants remembers the lists by which one holder was chosen. A list always leads to the same holder, so that an entry counts as soon as it
// follows a list by which another has chosen the holder. The zero value remembers none. It is not safe for concurrent use.
type Claimants struct {
	// lists are the latest ones, the newest last.
	lists []uint64
}

// Add remembers the list of a claim and returns the part of the entries that choose the holder. An entry that does not state its list counts as
// one that does, and if the claim states none all entries do.
func (c *Claimants) Add(claim Claim, followers *Followers) Part {
	if claim.List == 0 || followers == nil {
		return Part{}
	}

	if !slices.Contains(c.lists, claim.List) {
		c.lists = append(c.lists, claim.List)
		c.lists = c.lists[max(len(c.lists)-maxClaims, 0):]
	}

	choosing := followers.byList[0]
	for _, list := range c.lists {
		choosing += followers.byList[list]
	}

	// The entry of the claim may not be connected, or may have stated another list before.
	choosing = max(choosing, 1)
	alive := max(followers.connected, claim.Entries, choosing)

	return Part{Alive: alive, Others: alive - choosing}
}
