package link

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/pipe"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// scriptedAgent sends the states that a test gives it; nil ends the stream.
type scriptedAgent struct {
	relay.DRPCRelayUnimplementedServer
	states chan *relay.State
	// settings are the messages of the entry.
	settings chan *relay.Settings
}

func (a *scriptedAgent) Watch(stream relay.DRPCRelay_WatchStream) error {
	go func() {
		for {
			settings, err := stream.Recv()
			if err != nil {
				return
			}

			a.settings <- settings
		}
	}()

	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case state := <-a.states:
			if state == nil {
				return errors.New("stream ends")
			}

			state.IntervalMs = time.Hour.Milliseconds()

			if err := stream.Send(state); err != nil {
				return err
			}
		}
	}
}

func scriptedAdapter(name string, version int64, loading bool) *relay.Adapter {
	return &relay.Adapter{Model: "m", Name: name, Version: version, Loading: loading}
}

// startScripted connects an entry with a scripted agent, whose server is listed as "i", and returns a function that ends both.
func startScripted(t *testing.T) (*Links, *scriptedAgent, func()) {
	t.Helper()

	log := logrus.New()
	log.SetOutput(io.Discard)

	listener := pipe.New()
	agent := &scriptedAgent{states: make(chan *relay.State), settings: make(chan *relay.Settings, 1000)}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})

	go func() {
		defer close(ended)

		_ = conn.Serve(ctx, listener, func(mux *drpcmux.Mux) error { return relay.DRPCRegisterRelay(mux, agent) })
	}()

	follower := func() *progress.Follower {
		return &progress.Follower{Freshness: &freshness.Tracker{}, IsReader: func() bool { return false }, OnPublish: func() {}}
	}

	l := &Links{
		Pool: conn.New(func(ctx context.Context, _ string) (net.Conn, error) { return listener.Dial(ctx) }), Port: 1, Log: log,
		Operator: follower(), Servers: follower(), SettingsVersion: func() int64 { return 1 },
		Settings: func(fleet.Server) (*relay.Settings, bool) { return &relay.Settings{ConfigVersion: 1, Entry: "e"}, true },
	}
	l.Sync(ctx, []fleet.Server{{ID: "i", Address: "10.0.0.1:2"}})

	return l, agent, func() {
		cancel()
		<-ended
		assert.NilError(t, l.Pool.Close())
		time.Sleep(time.Minute)
	}
}

// Guards against an entry that holds something else than the agent: one of the previous version sends whole lists whatever the entry accepts, and
// one of this version changes; and against adapters of a stream that has ended, which remain after the next one has begun.
func TestListOfAnAgent(t *testing.T) {
	type step struct {
		state   *relay.State
		loaded  map[Adapter]int64
		loading map[Adapter]bool
	}

	first, second := Adapter{Model: "m", Name: "a1"}, Adapter{Model: "m", Name: "a2"}
	begin := step{
		state: &relay.State{Ready: true, Adapters: []*relay.Adapter{scriptedAdapter("a1", 1, false), scriptedAdapter("a2", 0, true)}}, loaded: map[Adapter]int64{first: 1}, loading: map[Adapter]bool{second: true},
	}
	unchanged := step{state: &relay.State{Ready: true, Unchanged: true, Running: 3}, loaded: begin.loaded, loading: begin.loading}

	cases := map[string][]step{
		"previous version": {
			begin, unchanged,
			{state: &relay.State{Ready: true, Adapters: []*relay.Adapter{scriptedAdapter("a2", 4, false)}}, loaded: map[Adapter]int64{second: 4}},
			{state: &relay.State{Ready: true, Unchanged: true}, loaded: map[Adapter]int64{second: 4}},
		},
		"changes": {
			begin, unchanged,
			{state: &relay.State{Ready: true, Partial: true, Adapters: []*relay.Adapter{scriptedAdapter("a2", 4, false)}}, loaded: map[Adapter]int64{first: 1, second: 4}},
			{state: &relay.State{Ready: true, Partial: true, Removed: []*relay.Adapter{scriptedAdapter("a1", 0, false), scriptedAdapter("a9", 0, false)}}, loaded: map[Adapter]int64{second: 4}},
			{state: &relay.State{Ready: true, Unchanged: true}, loaded: map[Adapter]int64{second: 4}},
		},
		"new stream": {
			begin, {},
			{state: &relay.State{Ready: true, Adapters: []*relay.Adapter{scriptedAdapter("a2", 1, false)}}, loaded: map[Adapter]int64{second: 1}},
			{state: &relay.State{Ready: true, Partial: true, Adapters: []*relay.Adapter{scriptedAdapter("a2", 2, false)}}, loaded: map[Adapter]int64{second: 2}},
		},
	}

	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, agent, stop := startScripted(t)
				defer stop()

				for n, step := range steps {
					agent.states <- step.state

					time.Sleep(500 * time.Millisecond)

					state, ok := l.State("i")
					assert.Equal(t, ok, step.state != nil, "step %d", n)

					if !ok {
						continue
					}

					if step.loading == nil {
						step.loading = map[Adapter]bool{}
					}

					assert.DeepEqual(t, state.Loaded, step.loaded)
					assert.DeepEqual(t, state.Loading, step.loading)
				}
			})
		})
	}
}

// Guards against an entry that sends requests by an incomplete list: one that knows the changes of a stream only, or keeps the list of the stream
// before. It opens the stream again.
func TestFirstStateMustHaveTheWholeList(t *testing.T) {
	cases := map[string]*relay.State{
		"changes":   {Ready: true, Partial: true, Adapters: []*relay.Adapter{scriptedAdapter("a1", 1, false)}},
		"unchanged": {Ready: true, Unchanged: true},
	}

	for name, state := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, agent, stop := startScripted(t)
				defer stop()

				agent.states <- state

				time.Sleep(200 * time.Millisecond)

				_, ok := l.State("i")
				assert.Assert(t, !ok)

				agent.states <- &relay.State{Ready: true, Adapters: []*relay.Adapter{scriptedAdapter("a2", 1, false)}}

				time.Sleep(200 * time.Millisecond)

				found, ok := l.State("i")
				assert.Assert(t, ok)
				assert.DeepEqual(t, found.Loaded, map[Adapter]int64{{Model: "m", Name: "a2"}: 1})
			})
		})
	}
}

// Guards against an entry that gets whole lists for good, because only some of its messages say that it accepts changes.
func TestEachSettingsMessageAcceptsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, agent, stop := startScripted(t)
		defer stop()

		agent.states <- &relay.State{Ready: true}

		time.Sleep(time.Second)
		l.NotifySettings()
		time.Sleep(3 * settingsPeriod)
		l.Sync(t.Context(), nil)
		time.Sleep(time.Second)

		count := len(agent.settings)
		assert.Assert(t, count >= 4, "%d messages", count)

		for range count {
			assert.Assert(t, (<-agent.settings).GetChanges())
		}
	})
}
