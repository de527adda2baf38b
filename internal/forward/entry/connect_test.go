package entry

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/pipe"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// refusingAgent refuses all requests.
type refusingAgent struct {
	relay.DRPCRelayUnimplementedServer
}

func (*refusingAgent) Exchange(_ *relay.Request, stream relay.DRPCRelay_ExchangeStream) error {
	return stream.Send(&relay.Event{Body: &relay.Event_Refused{Refused: &relay.Refused{Kind: "overloaded"}}})
}

// countedConn counts its close.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once atomic.Bool
}

func (c *countedConn) Close() error {
	if c.once.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}

	return c.Conn.Close()
}

// Guards against connections that stay open after large messages, whose buffers use up the memory for messages at the agent.
func TestConnectionsOfLargeMessagesAreNotKept(t *testing.T) {
	cases := map[string]struct {
		body int
		kept bool
	}{
		"small": {body: 1 << 10, kept: true},
		"large": {body: 1 << 20},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			listener := pipe.New()
			ctx, stop := context.WithCancel(t.Context())
			served := make(chan struct{})

			go func() {
				defer close(served)

				_ = conn.Serve(ctx, listener, func(mux *drpcmux.Mux) error { return relay.DRPCRegisterRelay(mux, &refusingAgent{}) })
			}()

			var open atomic.Int64

			e := testEntry(func(ctx context.Context, _ string) (net.Conn, error) {
				open.Add(1)

				raw, err := listener.Dial(ctx)

				return &countedConn{Conn: raw, open: &open}, err
			})

			for range 3 {
				j := testJob(catalog.AtMostOnce)
				j.request.Body = make([]byte, c.body)

				_, refused := e.relay(t.Context(), j, fleet.Server{ID: "a", Address: "h:1"}, func(message.Event) error { return nil }).(message.Refused)
				assert.Check(t, refused)
			}

			assert.Equal(t, open.Load() > 0, c.kept)
			assert.NilError(t, e.Pool.Close())
			stop()
			<-served
		})
	}
}
