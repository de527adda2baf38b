package hosted

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
)

const (
	// applyMargin and drainMargin are subtracted from the delays that the platform allows to get the highest age of a
	// confirmation. They cover a call that hangs until its timeout and the start of the next one.
	applyMargin = 900 * time.Millisecond
	drainMargin = 1100 * time.Millisecond
	// revocationShare is the fraction of the maximum revocation delay that a confirmation of the configuration may be old, below
	// that at which an entry reports that it is not ready.
	revocationShare = 0.5
	// minMaxAge is the lowest of the highest ages: below it, relayed confirmations arrive too late to save calls.
	minMaxAge = 600 * time.Millisecond
	// readsPerMaxAge is the number of reads of a reader within the highest age of a confirmation.
	readsPerMaxAge = 3
)

// newFollowers returns the followers of the operator's configuration and of the list of servers.
func (p *process) newFollowers() (operator, servers *progress.Follower) {
	bounds := p.settings.Bounds
	operatorAge := min(bounds.MaxApplyDelay-applyMargin, time.Duration(revocationShare*float64(bounds.MaxRevocationDelay)))

	operator = &progress.Follower{
		MaxAge: max(operatorAge, minMaxAge), OwnMaxAge: bounds.MaxRevocationDelay, Freshness: &freshness.Tracker{},
	}
	servers = &progress.Follower{MaxAge: max(bounds.MaxDrainDelay-drainMargin, minMaxAge), Freshness: &freshness.Tracker{}}

	return operator, servers
}
