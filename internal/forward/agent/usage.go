package agent

import (
	"context"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// RecordUsage implements relay.DRPCRelayServer.
func (a *Agent) RecordUsage(context.Context, *relay.UsageReport) (*relay.UsageReceipt, error) {
	return &relay.UsageReceipt{}, nil
}

// ReadUsage implements relay.DRPCRelayServer.
func (a *Agent) ReadUsage(context.Context, *relay.UsageQuery) (*relay.UsageReply, error) {
	return &relay.UsageReply{}, nil
}
