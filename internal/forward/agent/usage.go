package agent

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// RecordUsage implements relay.DRPCRelayServer.
func (a *Agent) RecordUsage(_ context.Context, report *relay.UsageReport) (*relay.UsageReceipt, error) {
	a.usage.Put(time.Now(), report.GetProcess(), convert.UsageWindowsFromWire(report.GetWindows()))

	return &relay.UsageReceipt{}, nil
}

// ReadUsage implements relay.DRPCRelayServer.
func (a *Agent) ReadUsage(_ context.Context, query *relay.UsageQuery) (*relay.UsageReply, error) {
	return &relay.UsageReply{Tallies: convert.UsageTalliesToWire(a.usage.Get(query.GetNumber()))}, nil
}
