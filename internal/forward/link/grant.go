package link

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// grantTimeout bounds the wait for a grant; requests wait for it.
const grantTimeout = 150 * time.Millisecond

// GrantClient requests tokens from the agents that hold the buckets of client accounts. It implements quota.Granter.
type GrantClient struct {
	Links *Links
	// Entry names this entry.
	Entry string
}

// Grant implements quota.Granter.
func (g *GrantClient) Grant(ctx context.Context, account string, wanted float64) (float64, bool) {
	holder, ok := g.Links.holder(time.Now(), account)
	if !ok {
		return 0, false
	}

	bounded, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()

	demand := &relay.Demand{Account: account, Tokens: wanted, TenureMs: holder.tenure.Age.Milliseconds(), Moved: holder.tenure.Moved}
	request := &relay.GrantRequest{Entry: g.Entry, Demands: []*relay.Demand{demand}}

	reply, err := relay.NewDRPCRelayClient(g.Links.Pool.Get(holder.address)).Grant(bounded, request)
	if err != nil || len(reply.GetGrants()) == 0 {
		return 0, false
	}

	return reply.GetGrants()[0].GetTokens(), true
}

// settleTime is how long after the first look at the list servers still appear in it at a start of the whole system.
const settleTime = 5 * time.Second

// holder is the agent that holds the bucket of an account.
type holder struct {
	address string
	tenure  quota.Tenure
}

// holder returns the agent whose server has the highest score for the account. All entries see the same list, so that they
// agree; a holder out of touch is not replaced before its server leaves the list.
func (l *Links) holder(now time.Time, account string) (holder, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	var (
		best *link
		most uint64
	)

	for id, found := range l.links {
		if score := score(account, id); best == nil || score > most {
			best, most = found, score
		}
	}

	if best == nil {
		return holder{}, false
	}

	since := best.opened

	for id, at := range l.removed {
		if score(account, id) > most && at.After(since) {
			since = at
		}
	}

	return holder{
		address: best.address,
		tenure:  quota.Tenure{Age: now.Sub(since), Moved: since.After(l.started.Add(settleTime))},
	}, true
}

func score(account, id string) uint64 {
	return xxhash.Sum64String(account + "\x00" + id)
}
