package agent_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agent"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/pipe"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// changingEngine is a model server that loads and unloads adapters at random.
type changingEngine struct {
	idleEngine
	mu     sync.Mutex
	source *rand.Rand
	loaded map[schedule.Adapter]int64
	// loading is nil while no adapter is being loaded.
	loading map[schedule.Adapter]int64
	started int64
}

func (e *changingEngine) Report(context.Context) (schedule.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	report := schedule.Report{StartedAt: e.started, Models: []schedule.LoadedModel{{Name: "m0"}}}

	for adapter, version := range e.loaded {
		report.Models[0].Adapters = append(report.Models[0].Adapters, schedule.AdapterVersion{Adapter: adapter, Version: version})
	}

	for adapter, version := range e.loading {
		report.Loading = append(report.Loading, schedule.AdapterVersion{Adapter: adapter, Version: version})
	}

	return report, nil
}

// change makes some changes; at times the server restarts and holds nothing.
func (e *changingEngine) change() {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.source.IntN(40) == 0 {
		e.started++
		e.loaded = map[schedule.Adapter]int64{}
	}

	e.loading = map[schedule.Adapter]int64{}

	for range e.source.IntN(4) {
		name := schedule.Adapter{Model: "m0", Name: fmt.Sprintf("a%d", e.source.IntN(30))}

		switch e.source.IntN(4) {
		case 0:
			delete(e.loaded, name)
		case 1:
			e.loading[name] = 1
		default:
			e.loaded[name] = 1 + e.source.Int64N(2)
		}
	}
}

// network connects entries with an agent.
type network struct {
	listener *pipe.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func (n *network) dial(ctx context.Context, _ string) (net.Conn, error) {
	made, err := n.listener.Dial(ctx)
	if err != nil {
		return nil, err
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	n.conns = append(n.conns, made)

	return made, nil
}

// cut ends all connections.
func (n *network) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()

	for _, made := range n.conns {
		_ = made.Close()
	}

	n.conns = nil
}

// previousEntry is an entry of the previous version: it asks for no changes, knows nothing of them, and opens its stream again when it ends.
type previousEntry struct {
	mu sync.Mutex
	// adapters are those of the last message with a list, and newer counts the messages that have what it does not know.
	adapters []*relay.Adapter
	newer    int
}

func (e *previousEntry) run(ctx context.Context, client relay.DRPCRelayClient) {
	for ctx.Err() == nil {
		if stream, err := client.Watch(ctx); err == nil {
			e.receive(stream)
		}

		time.Sleep(100 * time.Millisecond)
	}
}

func (e *previousEntry) receive(stream relay.DRPCRelay_WatchClient) {
	defer func() { _ = stream.Close() }()

	for {
		state, err := stream.Recv()
		if err != nil || stream.Send(&relay.Settings{Entry: "previous", Entries: 2, Unchanged: true}) != nil {
			return
		}

		e.mu.Lock()

		if state.GetPartial() || len(state.GetRemoved()) > 0 {
			e.newer++
		}

		if !state.GetUnchanged() {
			e.adapters = state.GetAdapters()
		}

		e.mu.Unlock()
	}
}

// held returns the loaded adapters and those that are being loaded.
func (e *previousEntry) held() (loaded map[link.Adapter]int64, loading map[link.Adapter]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	return split(e.adapters)
}

func split(adapters []*relay.Adapter) (loaded map[link.Adapter]int64, loading map[link.Adapter]bool) {
	loaded, loading = map[link.Adapter]int64{}, map[link.Adapter]bool{}

	for _, held := range adapters {
		name := link.Adapter{Model: held.GetModel(), Name: held.GetName()}

		if held.GetLoading() {
			loading[name] = true
		} else {
			loaded[name] = held.GetVersion()
		}
	}

	return loaded, loading
}

// currentList returns what the agent holds: the first message of a new stream.
func currentList(t *testing.T, client relay.DRPCRelayClient) (loaded map[link.Adapter]int64, loading map[link.Adapter]bool) {
	t.Helper()

	stream, err := client.Watch(t.Context())
	assert.NilError(t, err)

	defer func() { assert.NilError(t, stream.Close()) }()

	state, err := stream.Recv()
	assert.NilError(t, err)
	assert.Assert(t, !state.GetPartial() && !state.GetUnchanged(), "the first message of a stream lacks the list")

	return split(state.GetAdapters())
}

// countPartial counts the messages of the agent with changes only, as a further entry that accepts them gets them. It opens its stream again when
// that ends.
func countPartial(ctx context.Context, client relay.DRPCRelayClient, count *int) {
	for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		stream, err := client.Watch(ctx)
		if err != nil {
			continue
		}

		for err := stream.Send(&relay.Settings{Unchanged: true, Changes: true}); err == nil; {
			var state *relay.State

			if state, err = stream.Recv(); state.GetPartial() {
				*count++
			}
		}

		_ = stream.Close()
	}
}

func testFollower() *progress.Follower {
	return &progress.Follower{Freshness: &freshness.Tracker{}, IsReader: func() bool { return false }, OnPublish: func() {}}
}

// Guards against an entry whose list of adapters is not that of the agent, after any sequence of changes and of connections that end, and against
// an entry of the previous version that gets less than the whole list while another one of this version watches the same agent.
func TestEntriesHoldWhatTheAgentHolds(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)

				between := &network{listener: pipe.New()}
				source := rand.New(rand.NewPCG(seed, 1))
				engine := &changingEngine{source: source, loaded: map[schedule.Adapter]int64{}, started: 1}
				server := &agent.Agent{
					Engine: engine, Upstream: &upstream.Client{}, Listener: between.listener, Log: log, Metrics: metrics.NewRegistry(), DrainTimeout: time.Second,
				}

				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)

				go func() { ended <- server.Run(ctx) }()

				pool := conn.New(between.dial)
				client := relay.NewDRPCRelayClient(pool.Get("agent"))

				links := &link.Links{
					Pool: pool, Port: 1, Log: log, Operator: testFollower(), Servers: testFollower(), SettingsVersion: func() int64 { return 1 },
					Settings: func(fleet.Server) (*relay.Settings, bool) {
						return &relay.Settings{ConfigVersion: 1, Entry: "current"}, true
					},
				}
				links.Sync(ctx, []fleet.Server{{ID: "i", Address: "10.0.0.1:2"}})

				previous := &previousEntry{}
				partial := 0

				go previous.run(ctx, client)

				go countPartial(ctx, client, &partial)

				for round := range 25 {
					for range 1 + source.IntN(6) {
						engine.change()
						time.Sleep(time.Duration(source.IntN(400)) * time.Millisecond)

						if round > 5 && source.IntN(8) == 0 {
							between.cut()
						}
					}

					time.Sleep(2 * time.Second)

					loaded, loading := currentList(t, client)
					state, ok := links.State("i")
					assert.Assert(t, ok)
					assert.Assert(t, maps.Equal(state.Loaded, loaded) && maps.Equal(state.Loading, loading), "round %d: %v %v, want %v %v", round, state.Loaded, state.Loading, loaded, loading)
					assert.Assert(t, slices.Equal(state.Models, []string{"m0"}))

					previousLoaded, previousLoading := previous.held()
					assert.Assert(t, maps.Equal(previousLoaded, loaded) && maps.Equal(previousLoading, loading), "round %d: %v %v, want %v %v", round, previousLoaded, previousLoading, loaded, loading)
				}

				cancel()
				assert.NilError(t, <-ended)
				assert.NilError(t, pool.Close())
				time.Sleep(time.Minute)

				assert.Equal(t, previous.newer, 0)
				assert.Assert(t, partial > 0, "no message with changes")
				t.Log("messages with changes:", partial)
			})
		})
	}
}
