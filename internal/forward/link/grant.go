package link

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

const (
	// grantTimeout limits the wait for a grant; it is short because requests wait for the grant.
	grantTimeout = 150 * time.Millisecond
	// maxBehind is how long an entry that has not read the newest list of servers still requests tokens: the others may have
	// another holder by that list.
	maxBehind = 500 * time.Millisecond
)

// GrantClient requests tokens from the agents that hold the buckets of client accounts. It implements quota.Granter.
type GrantClient struct {
	Links *Links
	// Entry is the name of this entry.
	Entry string

	mu sync.Mutex
	// holders holds the server whose agent was last asked, by account.
	holders map[string]string
}

// Grant implements quota.Granter.
func (g *GrantClient) Grant(ctx context.Context, account string, wanted float64) (float64, bool) {
	if g.Links.Servers.BehindFor() > maxBehind {
		return 0, false
	}

	holder, ok := g.Links.holder(time.Now(), account)
	if !ok {
		return 0, false
	}

	g.logHolder(account, holder)

	bounded, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()

	demand := &relay.Demand{Account: account, Tokens: wanted, TenureMs: holder.tenure.Age.Milliseconds(), Moved: holder.tenure.Moved}
	request := &relay.GrantRequest{Entry: g.Entry, Demands: []*relay.Demand{demand}, List: holder.list, Entries: int32(g.Links.EntryCount())}

	reply, err := relay.NewDRPCRelayClient(g.Links.Pool.Get(holder.address)).Grant(bounded, request)
	if err != nil || len(reply.GetGrants()) == 0 {
		return 0, false
	}

	return reply.GetGrants()[0].GetTokens(), true
}

// logHolder logs which agent holds the bucket of an account, and by which list, if it is not the one that was asked before.
func (g *GrantClient) logHolder(account string, chosen holder) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.holders[account] == chosen.id {
		return
	}

	if g.holders == nil {
		g.holders = map[string]string{}
	}

	g.holders[account] = chosen.id
	g.Links.Log.WithFields(logrus.Fields{
		"account": account, "server": chosen.id, "list": convert.ListToText(chosen.list), "moved": chosen.tenure.Moved,
	}).Info("holder of an account chosen")
}

// startupPeriod is how long after the first start of the whole system more servers may appear in the list. A change of the holder during
// this period does not count as a move. To an entry that starts later every change is one: the holder before it may have granted tokens.
const startupPeriod = 5 * time.Second

// holder is the agent that holds the bucket of an account.
type holder struct {
	// id is that of the server of the agent.
	id      string
	address string
	tenure  quota.Tenure
	// list is the digest of the list by which it was chosen.
	list uint64
}

// holder returns the agent whose server has the highest score for the account among the listed servers. Entries that see the same list choose the
// same holder; agents divide what they grant among entries that do not. A holder that is disconnected is only replaced once its server vanishes
// from the list. How long a vanished server stays in use differs between entries; it is a holder only if no server is listed.
func (l *Links) holder(now time.Time, account string) (holder, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	best, highest := l.highest(account, false)
	if best == nil {
		best, highest = l.highest(account, true)
	}

	if best == nil {
		return holder{}, false
	}

	since := best.openedAt

	for id, at := range l.removedAt {
		if score(account, id) > highest && at.After(since) {
			since = at
		}
	}

	settled := l.firstSync
	if l.FirstStart {
		settled = settled.Add(startupPeriod)
	}

	return holder{
		id:      best.id,
		list:    l.list,
		address: best.address,
		tenure:  quota.Tenure{Age: now.Sub(since), Moved: since.After(settled)},
	}, true
}

// highest returns the link of the server with the highest score for the account, and that score, among the listed or the vanished
// servers; nil if there is none. The lock must be held.
func (l *Links) highest(account string, vanished bool) (*link, uint64) {
	var (
		best    *link
		highest uint64
	)

	for id, found := range l.links {
		if found.server.Vanished != vanished {
			continue
		}

		if score := score(account, id); best == nil || score > highest {
			best, highest = found, score
		}
	}

	return best, highest
}

// score returns the rank of a server for an account in rendezvous hashing.
func score(account, id string) uint64 {
	return xxhash.Sum64String(account + "\x00" + id)
}
