// Package agreement divides what a holder grants while entries follow different lists of servers. Each entry finds the holder of a client account,
// or of the limit of a server, from its own list, so that entries with different lists may choose two holders. Each of them grants the share of
// the entries that choose it, so that both together grant no more than one.
package agreement

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxClaims is the number of lists that are remembered for each holding, the latest ones.
	maxClaims = 8
	// settleTime is how long after a change of the entries or of their lists others may still be about to connect, or to read the same list. A holder
	// that takes over starts with an empty bucket, so that differences that pass need no division.
	settleTime = time.Second
)

// NoHolder stands for the list of an entry that takes from no holder, because it could not read the newest list.
const NoHolder = math.MaxUint64

// Claim is the statement of an entry that has chosen a holder.
type Claim struct {
	// List is the digest of the list by which the entry has chosen the holder; 0 if the entry does not state it.
	List uint64
	// Entries is the number of entries that the entry knows to be alive; 0 if it does not state it.
	Entries int
}

// Followers counts the connected entries by the list that they follow. It is not safe for concurrent use.
type Followers struct {
	// byList is the number of entries by list, and changedAt is when it last changed.
	byList    map[uint64]int
	changedAt time.Time
	connected int
}

// Set sets the lists of all connected entries; 0 stands for that of an entry that does not state it.
func (f *Followers) Set(now time.Time, lists []uint64) {
	byList := make(map[uint64]int, 1)
	for _, list := range lists {
		byList[list]++
	}

	if !maps.Equal(byList, f.byList) {
		f.changedAt = now
	}

	f.byList, f.connected = byList, len(lists)
}

// settled reports whether entries and lists have not changed for settleTime.
func (f *Followers) settled(now time.Time) bool {
	return now.Sub(f.changedAt) >= settleTime
}

// Taking returns the number of connected entries that take from holders.
func (f *Followers) Taking() int {
	return f.connected - f.byList[NoHolder]
}

// Lists returns the number of different lists that entries state.
func (f *Followers) Lists() int {
	count := 0

	for list := range f.byList {
		if list != 0 && list != NoHolder {
			count++
		}
	}

	return count
}

// Part is the part of the entries that choose one holder. In the zero value all do.
type Part struct {
	// Alive is the number of entries that are alive and take from holders, as far as is known.
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
// one that does. If the claim states none, or entries or lists have just changed, all connected entries count.
func (c *Claimants) Add(now time.Time, claim Claim, followers *Followers) Part {
	if claim.List == 0 || followers == nil {
		return Part{}
	}

	if !slices.Contains(c.lists, claim.List) {
		c.lists = append(c.lists, claim.List)
		c.lists = c.lists[max(len(c.lists)-maxClaims, 0):]
	}

	if !followers.settled(now) {
		return Part{Alive: followers.Taking()}
	}

	choosing := followers.byList[0]
	for _, list := range c.lists {
		choosing += followers.byList[list]
	}

	// The entry of the claim may not be connected, or may have stated another list before.
	choosing = max(choosing, 1)
	alive := max(followers.Taking(), claim.Entries-followers.byList[NoHolder], choosing)

	return Part{Alive: alive, Others: alive - choosing}
}
