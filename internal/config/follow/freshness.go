package follow

import (
	"slices"
	"time"
)

// Freshness computes the latest time at which no version newer than the local one is known to have existed. A confirmation
// stays valid when the local version increases.
type Freshness struct {
	// Domain is the failure domain of this process.
	Domain string

	// tableConfirmed is the time of the last confirmation by the table, directly or through another process.
	tableConfirmed time.Time
	// tableUnavailable is set while reads of the table fail; only then do peers count.
	tableUnavailable bool
	// peerConfirmed maps a failure domain to the send time of the last call that a peer there confirmed.
	peerConfirmed map[string]time.Time
}

// ConfirmTable records that the table had no newer version at a time.
func (f *Freshness) ConfirmTable(at time.Time) {
	f.tableConfirmed = laterOf(f.tableConfirmed, at)
}

// SetTableAvailable records whether the last read of the table succeeded.
func (f *Freshness) SetTableAvailable(ok bool) {
	f.tableUnavailable = !ok
}

// ConfirmPeer records that a peer knew no newer version at a time.
func (f *Freshness) ConfirmPeer(domain string, at time.Time) {
	if f.peerConfirmed == nil {
		f.peerConfirmed = map[string]time.Time{}
	}

	f.peerConfirmed[domain] = laterOf(f.peerConfirmed[domain], at)
}

// Confirmed returns the time of the last confirmation. While the table is unavailable, a majority of the given failure
// domains, which are those that have entries, counts as well; the process's own domain counts as confirmed now. Without
// domains only the table counts.
func (f *Freshness) Confirmed(now time.Time, domains []string) time.Time {
	if !f.tableUnavailable || len(domains) == 0 {
		return f.tableConfirmed
	}

	times := []time.Time{now}

	for _, domain := range domains {
		if domain != f.Domain {
			times = append(times, f.peerConfirmed[domain])
		}
	}

	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })

	// A majority of the domains is confirmed at or after the majority-th newest time.
	majority := len(times)/2 + 1

	return laterOf(f.tableConfirmed, times[majority-1])
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
