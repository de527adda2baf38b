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

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/agent"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/pipe"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// waitingRequest is a request that waits at an agent, since its model is not loaded.
func waitingRequest() *relay.Request {
	return &relay.Request{
		Id: "r", Method: "POST", Target: []byte("/quote/1"), Account: "acme", Model: "m0", Adapter: "a1", Parts: []string{"system", "bad"}, PatienceMs: 30_000,
		TargetMs: 10_000,
	}
}

// Guards against a request that waits at an agent while it, its prompt part or its adapter is quarantined, and ends one more server when it is sent;
// and against the refusal of one that is not concerned or may be a trial.
func TestWaitingRequestIsRefusedWhenItIsQuarantined(t *testing.T) {
	digest := quarantine.RequestDigest(&message.Request{Method: "POST", Target: "/quote/1"}, "acme")

	cases := map[string]struct {
		subject string
		// age is how long the hold has lasted when the agent is told of it, and before is true if that is before the request arrives.
		age    time.Duration
		before bool
		// sound is true if the agent is told afterwards that the subject is sound.
		sound, refused bool
	}{
		"part":                        {subject: "bad", refused: true},
		"request":                     {subject: quarantine.RequestSubject(digest), refused: true},
		"adapter":                     {subject: quarantine.AdapterSubject("m0", "a1"), refused: true},
		"other part":                  {subject: "other"},
		"other request":               {subject: quarantine.RequestSubject("00")},
		"part, told before":           {subject: "bad", before: true, refused: true},
		"trial of a part":             {subject: "bad", before: true, age: time.Minute},
		"part that is sound since":    {subject: "bad", before: true, sound: true},
		"part that was held long ago": {subject: "bad", age: time.Minute},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, stop := runIdleAgent(t)
				hold := &relay.Hold{Subject: c.subject, AgeMs: c.age.Milliseconds(), LeftMs: 5000, PeriodMs: 5000}

				tell := func() {
					watch, err := client.Watch(t.Context())
					assert.NilError(t, err)

					assert.NilError(t, watch.Send(&relay.Settings{Holds: []*relay.Hold{hold}}))
					time.Sleep(time.Second)

					if c.sound {
						assert.NilError(t, watch.Send(&relay.Settings{Sound: []*relay.Sound{{Subject: c.subject}}}))
						time.Sleep(time.Second)
					}
				}

				if c.before {
					tell()
				}

				refused := make(chan *relay.Refused, 1)

				go func() { refused <- awaitRefusal(t, client, waitingRequest()) }()

				time.Sleep(time.Second)

				if !c.before {
					tell()
				}

				select {
				case refusal := <-refused:
					assert.Check(t, c.refused)
					assert.Check(t, refusal.GetKind() == string(fault.Quarantined), "%v", refusal)
					assert.Check(t, refusal.GetRetryAfterMs() > 0)
				default:
					assert.Check(t, !c.refused)
				}

				stop()
			})
		})
	}
}

// runIdleAgent starts an agent whose model server has no model loaded, and returns a client of it and a function that ends it.
func runIdleAgent(t *testing.T) (relay.DRPCRelayClient, func()) {
	t.Helper()

	log := logrus.New()
	log.SetOutput(io.Discard)

	listener := pipe.New()
	server := &agent.Agent{
		Engine: idleEngine{}, Upstream: &upstream.Client{}, Listener: listener, Log: log, Metrics: metrics.NewRegistry(), DrainTimeout: 5 * time.Second,
	}

	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)

	go func() { ended <- server.Run(ctx) }()

	pool := conn.New(func(ctx context.Context, _ string) (net.Conn, error) { return listener.Dial(ctx) })

	return relay.NewDRPCRelayClient(pool.Get("agent")), func() {
		cancel()
		assert.NilError(t, <-ended)
		assert.NilError(t, pool.Close())
		time.Sleep(time.Minute)
	}
}

// awaitRefusal sends a request and returns its refusal; nil if the stream ends without one.
func awaitRefusal(t *testing.T, client relay.DRPCRelayClient, request *relay.Request) *relay.Refused {
	t.Helper()

	stream, err := client.Exchange(t.Context(), request)
	assert.Check(t, err)

	for {
		event, err := stream.Recv()
		if err != nil {
			return nil
		}

		if event.GetRefused() != nil {
			return event.GetRefused()
		}
	}
}
