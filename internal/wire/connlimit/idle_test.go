package connlimit_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/connlimit"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

type receiver struct {
	relay.DRPCRelayUnimplementedServer
}

func (*receiver) RecordUsage(context.Context, *relay.UsageReport) (*relay.UsageReceipt, error) {
	return &relay.UsageReceipt{}, nil
}

// Guards against a large message that is refused although no other one is under way, because idle connections keep the budget with the buffers of
// earlier ones.
func TestIdleConnectionsLeaveTheBudget(t *testing.T) {
	const (
		size     = 4 << 20
		overhead = 64
	)

	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	budget := &memory.Budget{Limit: 23 << 20, Headroom: connlimit.MessageMemory(conn.MaxMessageBytes)}
	limited := &connlimit.Listener{Listener: raw, NewLimit: func() connlimit.Limit { return connlimit.NewFrame(budget) }}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan struct{})

	go func() {
		defer close(served)

		_ = conn.Serve(ctx, limited, func(mux *drpcmux.Mux) error { return relay.DRPCRegisterRelay(mux, &receiver{}) })
	}()

	for i := range 8 {
		// Each entry has a pool of its own, which keeps idle connections for 30 s.
		entry := conn.New(nil)
		agent, err := entry.Open(ctx, raw.Addr().String())
		assert.NilError(t, err)

		_, err = relay.NewDRPCRelayClient(agent).RecordUsage(ctx, &relay.UsageReport{Process: strings.Repeat("a", size)})
		assert.Check(t, err == nil, "message %d, %d bytes used, code %d: %v", i, budget.Used(), drpcerr.Code(err), err)
		assert.NilError(t, agent.Close())

		// A message of the largest size on a connection of the pool takes nothing of the budget.
		small := relay.NewDRPCRelayClient(entry.Get(raw.Addr().String()))
		_, err = small.RecordUsage(ctx, &relay.UsageReport{Process: strings.Repeat("a", conn.MaxPooledBytes-overhead)})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = entry.Close() })
	}

	for deadline := time.Now().Add(5 * time.Second); budget.Used() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}

	assert.Equal(t, budget.Used(), int64(0))
	stop()
	<-served
}
