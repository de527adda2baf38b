package follow

import (
	"slices"
	"time"
)

// Freshness decides up to which moment it is confirmed that no newer version than the own one existed. A confirmation
// stays true when the own version grows.
type Freshness struct {
	// Domain is the own failure domain.
	Domain string

	table time.Time
	// silent is set while the table does not answer; only then do peers count.
	silent bool
	// peers maps a failure domain to the send time of the last call that a peer there answered.
	peers map[string]time.Time
}

// ConfirmTable notes that the table had no newer version at a moment.
func (f *Freshness) ConfirmTable(at time.Time) {
	f.table = later(f.table, at)
}

// SetTableAvailable records whether the last read of the table was answered.
func (f *Freshness) SetTableAvailable(ok bool) {
	f.silent = !ok
}

// ConfirmPeer notes that a peer knew no newer version at a moment.
func (f *Freshness) ConfirmPeer(domain string, at time.Time) {
	if f.peers == nil {
		f.peers = map[string]time.Time{}
	}

	f.peers[domain] = later(f.peers[domain], at)
}

// Confirmed returns the moment to which the confirmation reaches back. While the table does not answer, a majority of
// the given failure domains, which are those that have entries, counts as well; the own domain counts as confirmed now.
// Without domains only the table counts.
func (f *Freshness) Confirmed(now time.Time, domains []string) time.Time {
	if !f.silent || len(domains) == 0 {
		return f.table
	}

	moments := []time.Time{now}

	for _, domain := range domains {
		if domain != f.Domain {
			moments = append(moments, f.peers[domain])
		}
	}

	slices.SortFunc(moments, func(a, b time.Time) int { return b.Compare(a) })

	// The majority-th newest moment is the oldest one that a majority still reaches.
	majority := len(moments)/2 + 1

	return later(f.table, moments[majority-1])
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
