package agent

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agreement"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// Grant implements relay.DRPCRelayServer: it takes the demanded tokens of each account from the token buckets of this agent, and
// returns how many it could take.
func (a *Agent) Grant(_ context.Context, request *relay.GrantRequest) (*relay.GrantReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	reply := &relay.GrantReply{}
	claim := agreement.Claim{List: request.GetList(), Entries: int(request.GetEntries())}
	a.follow(request.GetEntry(), claim)

	for _, demand := range request.GetDemands() {
		tenure := quota.Tenure{Age: time.Duration(demand.GetTenureMs()) * time.Millisecond, Moved: demand.GetMoved(), Claim: claim}
		taken := a.accounts.Take(time.Now(), demand.GetAccount(), demand.GetTokens(), tenure)
		// A grant has the form of a demand; its Tokens are those that were taken.
		reply.Grants = append(reply.Grants, &relay.Demand{Account: demand.GetAccount(), Tokens: taken})
	}

	return reply, nil
}
