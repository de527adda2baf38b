package link

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// PermitClient asks the agents that hold the limits of servers of plain services for permission to send requests to them.
type PermitClient struct {
	Links *Links
	// Entry is the name of this entry.
	Entry string
}

// Permit is the decision of a holder.
type Permit struct {
	// Newest is the newest statement of the server that the holder knows.
	Newest throttle.Statement
	// Granted is true if one request may be sent; otherwise Wait is the time until the server takes the next one.
	Granted bool
	Wait    time.Duration
}

// Permit asks for permission to send one request of the given urgency, and tells the holder the newest statement that this entry knows;
// false if the holder cannot be reached.
func (p *PermitClient) Permit(ctx context.Context, known throttle.Statement, urgency int) (Permit, bool) {
	return p.call(ctx, known, &relay.PermitRequest{Wanted: true, Urgency: int32(urgency)})
}

// Report tells the holder of a server the newest statement that this entry knows.
func (p *PermitClient) Report(ctx context.Context, known throttle.Statement) (Permit, bool) {
	return p.call(ctx, known, &relay.PermitRequest{})
}

func (p *PermitClient) call(ctx context.Context, known throttle.Statement, request *relay.PermitRequest) (Permit, bool) {
	if p.Links.Servers.BehindFor() > maxBehind {
		return Permit{}, false
	}

	holder, ok := p.Links.holder(time.Now(), known.Server)
	if !ok {
		return Permit{}, false
	}

	bounded, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()

	request.List, request.Entries = holder.list, int32(p.Links.EntryCount())
	request.Entry, request.Statement = p.Entry, convert.StatementToWire(time.Now(), known)

	reply, err := relay.NewDRPCRelayClient(p.Links.Pool.Get(holder.address)).Permit(bounded, request)
	if err != nil {
		return Permit{}, false
	}

	return Permit{
		Newest:  convert.StatementFromWire(time.Now(), reply.GetStatement()),
		Granted: reply.GetGranted(),
		Wait:    time.Duration(reply.GetWaitMs()) * time.Millisecond,
	}, true
}

// receiveLimits passes on the limits that an agent holds, if they have changed.
func (l *Links) receiveLimits(state *relay.State) {
	if l.OnLimits == nil || len(state.GetLimits()) == 0 {
		return
	}

	l.OnLimits(convert.StatementsFromWire(time.Now(), state.GetLimits()))
}
