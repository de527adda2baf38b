package agent

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/agreement"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// observeLimit records what a response of the model server states about its limit.
func (a *Agent) observeLimit(_ string, sentAt time.Time, limit throttle.Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.recordLimit(sentAt, limit) {
		a.dispatch()
		a.notifyWatchers()
	}
}

// recordLimit records the limit that the model server has stated, and reports whether it has changed. The lock must be held.
func (a *Agent) recordLimit(sentAt time.Time, limit throttle.Limit) bool {
	if !a.scheduler.ObserveLimit(time.Now(), sentAt, limit) {
		return false
	}

	metric.Count(a.Metrics, "limit.changed")
	a.Log.WithField("limit", limit.String()).Info("limit of the model server changed")

	return true
}

// Permit implements relay.DRPCRelayServer: it permits one request to a server of a plain service, within the newest limit of the
// server that an entry has reported, and returns that limit.
func (a *Agent) Permit(_ context.Context, request *relay.PermitRequest) (*relay.PermitReply, error) {
	now := time.Now()
	stated := convert.StatementFromWire(now, request.GetStatement())

	a.mu.Lock()
	defer a.mu.Unlock()

	claim := agreement.Claim{List: request.GetList(), Entries: int(request.GetEntries())}
	a.follow(request.GetEntry(), claim)

	before := a.limits.Version()
	a.limits.Adopt(now, stated)
	a.limits.Claim(now, stated.Server, claim)

	if a.limits.Version() != before {
		a.Log.WithField("server", stated.Server).WithField("limit", stated.Limit.String()).WithField("entry", request.GetEntry()).
			Info("limit of a plain service changed")
		a.notifyUrgent()
	}

	reply := &relay.PermitReply{Statement: convert.StatementToWire(now, a.limits.Newest(stated.Server))}

	if request.GetWanted() {
		granted, wait := a.limits.Take(now, stated.Server, int(request.GetUrgency()))
		reply.Granted, reply.WaitMs = granted, wait.Milliseconds()
	}

	return reply, nil
}
