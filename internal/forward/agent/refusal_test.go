package agent_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agent"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/pipe"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// idleEngine is a model server that has nothing to do.
type idleEngine struct{}

func (idleEngine) Report(context.Context) (schedule.Report, error) { return schedule.Report{}, nil }

func (idleEngine) Order(context.Context, schedule.Order) (schedule.Outcome, error) {
	return schedule.Accepted, nil
}

// stallHook stands still before the line of a request that has failed is logged.
type stallHook struct{ stall time.Duration }

func (stallHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h stallHook) Fire(entry *logrus.Entry) error {
	if entry.Message == "request failed" {
		time.Sleep(h.stall)
	}

	return nil
}

// Guards against a request that an agent has read and will not run, and whose entry learns only that the stream has ended, because the agent
// ends before it has sent the refusal.
func TestDrainingAgentSendsRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		log.AddHook(stallHook{time.Second})

		listener := pipe.New()
		server := &agent.Agent{
			Engine: idleEngine{}, Upstream: &upstream.Client{}, Listener: listener, Log: log, Metrics: metrics.NewRegistry(),
			DrainTimeout: 5 * time.Second,
		}

		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)

		go func() { ended <- server.Run(ctx) }()

		pool := conn.New(func(ctx context.Context, _ string) (net.Conn, error) { return listener.Dial(ctx) })
		client := relay.NewDRPCRelayClient(pool.Get("agent"))

		time.Sleep(time.Second)
		cancel()
		// The entry doesn't know yet that the agent stops.
		time.Sleep(400 * time.Millisecond)

		stream, err := client.Exchange(t.Context(), &relay.Request{Id: "r", PatienceMs: 1000})
		assert.NilError(t, err)

		var refused bool

		for {
			event, err := stream.Recv()
			if err != nil {
				break
			}

			refused = refused || event.GetRefused() != nil
		}

		assert.Check(t, refused)
		assert.NilError(t, pool.Close())
		assert.NilError(t, <-ended)
		time.Sleep(time.Minute)
	})
}
