package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// unreachableEngine is a model server that answers nothing.
type unreachableEngine struct{}

func (unreachableEngine) Report(context.Context) (schedule.Report, error) {
	return schedule.Report{}, errors.New("unreachable")
}

func (unreachableEngine) Order(context.Context, schedule.Order) (schedule.Outcome, error) {
	return schedule.Unknown, errors.New("unreachable")
}

// Guards against an agent that ends while entries that have not heard of its end still send requests: what is on its way then has an unknown
// outcome, and is not sent elsewhere.
func TestStoppingAgentRefusesRequestsUntilNoneArrive(t *testing.T) {
	const (
		senders = 8
		sending = 1200 * time.Millisecond
	)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	log := logrus.New()
	log.SetOutput(io.Discard)

	a := &Agent{
		Engine: unreachableEngine{}, Upstream: &upstream.Client{}, Listener: listener, Log: log, Metrics: metrics.NewRegistry(), DrainTimeout: time.Minute,
	}

	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)

	go func() { ended <- a.Run(ctx) }()

	client := relay.NewDRPCRelayClient(conn.New(nil).Get(listener.Addr().String()))

	signal := time.Now()

	cancel()

	var group sync.WaitGroup

	for sender := range senders {
		group.Go(func() {
			for i := 0; time.Since(signal) < sending; i++ {
				outcome, err := exchange(t.Context(), client, fmt.Sprint(sender, "-", i))
				if errors.Is(err, conn.ErrDial) {
					// A request that cannot be sent has not run, and goes elsewhere.
					return
				}

				_, refused := outcome.(message.Refused)
				if !assert.Check(t, err) || !assert.Check(t, refused, "%#v", outcome) {
					return
				}
			}
		})
	}

	group.Wait()
	assert.NilError(t, <-ended)
}

// exchange sends a request to an agent and returns its outcome.
func exchange(ctx context.Context, client relay.DRPCRelayClient, id string) (message.Event, error) {
	stream, err := client.Exchange(ctx, &relay.Request{Id: id, Model: "m0", RemainingMs: 1000, PatienceMs: 1000})
	if err != nil {
		return nil, err
	}

	defer func() { _ = stream.Close() }()

	for {
		event, err := stream.Recv()
		if err != nil {
			return nil, err
		}

		if outcome := convert.EventFromWire(event); outcome != nil {
			return outcome, nil
		}
	}
}
