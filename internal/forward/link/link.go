// Package link keeps an entry in touch with the agents beside the model servers.
package link

import (
	"context"
	"maps"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

const (
	// silence is how long an agent may say nothing before it counts as lost; it speaks every 300 ms.
	silence = time.Second
	// redialPause is the wait before an agent is dialed again.
	redialPause = 250 * time.Millisecond
	// removalMemory is how long the time of a server's removal is kept.
	removalMemory = 10 * time.Minute
	// settingsPeriod is the longest time between two statements of the settings to an agent.
	settingsPeriod = 2 * time.Second
)

// Links holds one link for each model server. Its exported fields are set before Run.
type Links struct {
	Pool *conn.Pool
	// Port is the port on which agents listen.
	Port int
	// Settings returns what the agent of a server needs to know; false if it is not known yet.
	Settings func(server fleet.Server) (*relay.Settings, bool)
	// Confirmed returns when the store last confirmed the configuration to this entry, on freshness.Clock; false if it has not.
	Confirmed func() (time.Duration, bool)
	// OnConfirmation receives the newest configuration version that an agent knows and when the store confirmed it to an entry.
	OnConfirmation func(version int64, at time.Duration)
	Log            logrus.FieldLogger

	mu    sync.Mutex
	links map[string]*link
	// removed holds when the latest removed servers left the list.
	removed map[string]time.Time
	// started is when the list was first seen.
	started time.Time
}

type link struct {
	// id and address are those of the server; they do not change.
	id      string
	address string
	opened  time.Time
	// server is the newest entry of the list.
	server fleet.Server
	cancel context.CancelFunc
	state  State
	up     bool
}

// Sync starts links to new model servers and ends those to servers that are gone.
func (l *Links) Sync(ctx context.Context, servers []fleet.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()

	if l.links == nil {
		l.links = map[string]*link{}
		l.removed = map[string]time.Time{}
		l.started = now
	}

	maps.DeleteFunc(l.removed, func(_ string, at time.Time) bool { return now.Sub(at) > removalMemory })

	listed := map[string]bool{}

	for _, server := range servers {
		listed[server.ID] = true

		if found := l.links[server.ID]; found != nil && found.server.Address == server.Address {
			found.server = server
			continue
		}

		l.open(ctx, server)
	}

	for id, found := range l.links {
		if !listed[id] {
			found.cancel()
			delete(l.links, id)

			l.removed[id] = now
		}
	}
}

func (l *Links) open(ctx context.Context, server fleet.Server) {
	if old := l.links[server.ID]; old != nil {
		old.cancel()
	}

	own, cancel := context.WithCancel(ctx)
	opened := &link{id: server.ID, opened: time.Now(), address: l.Address(server), server: server, cancel: cancel}
	l.links[server.ID] = opened

	go l.run(own, opened)
}

// Address returns the address of the agent beside a server.
func (l *Links) Address(server fleet.Server) string {
	host, _, err := net.SplitHostPort(server.Address)
	if err != nil {
		return server.Address
	}

	return net.JoinHostPort(host, strconv.Itoa(l.Port))
}

// RecordSent adds a request of this entry to the last state that the agent reported.
func (l *Links) RecordSent(id string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if found := l.links[id]; found != nil {
		found.state.Sent++
		found.state.SentTokens += tokens
	}
}

// EntryCount returns the largest number of entries that any agent is connected to, at least 1.
func (l *Links) EntryCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	most := 1

	for _, found := range l.links {
		if found.up {
			most = max(most, found.state.Entries)
		}
	}

	return most
}

// ConnectedCount returns the number of connected agents.
func (l *Links) ConnectedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	count := 0

	for _, found := range l.links {
		if found.up {
			count++
		}
	}

	return count
}

func (l *Links) run(ctx context.Context, opened *link) {
	for ctx.Err() == nil {
		err := l.watch(ctx, opened)

		l.mu.Lock()
		was := opened.up
		opened.up = false
		l.mu.Unlock()

		if was && ctx.Err() == nil {
			l.Log.WithField("server", opened.id).WithError(err).Warn("agent lost")
		}

		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

func (l *Links) watch(parent context.Context, opened *link) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)

	// The timer also bounds the dial and the first answer.
	timer := time.AfterFunc(silence, func() { cancel(errors.New("agent is silent")) })
	defer timer.Stop()

	stream, err := relay.NewDRPCRelayClient(l.Pool.Get(opened.address)).Watch(ctx)
	if err != nil {
		return errors.Wrap(err, "watch agent")
	}

	defer func() { _ = stream.Close() }()

	peer := &freshness.PeerClock{}

	go l.speak(ctx, opened, peer, stream)

	for {
		state, err := stream.Recv()
		if err != nil {
			return errors.Wrap(errors.CombineErrors(context.Cause(ctx), err), "receive state")
		}

		timer.Reset(silence)
		peer.Observe(time.Duration(state.GetClockMs())*time.Millisecond, freshness.Clock())
		l.take(opened, state)

		if at, ok := convert.FromMoment(state.GetConfirmed()); ok {
			l.OnConfirmation(state.GetConfigVersion(), at)
		}
	}
}

// speak tells the agent the settings, at first and after each change.
func (l *Links) speak(ctx context.Context, opened *link, peer *freshness.PeerClock, stream relay.DRPCRelay_WatchClient) {
	var (
		told int64 = -1
		at   time.Time
	)

	for {
		l.mu.Lock()
		server := opened.server
		l.mu.Unlock()

		// The confirmation is read before the version: a newer version is also the newest at an earlier moment.
		confirmed := l.confirmed(peer)

		if settings, ok := l.Settings(server); ok && (settings.GetConfigVersion() != told || time.Since(at) > settingsPeriod) {
			settings.ClockMs = freshness.Clock().Milliseconds()
			settings.Confirmed = confirmed

			if err := stream.Send(settings); err != nil {
				return
			}

			told, at = settings.GetConfigVersion(), time.Now()
		}

		select {
		case <-ctx.Done():
			return
		case <-time.After(settingsPeriod / 10):
		}
	}
}

// confirmed names the newest confirmation of this entry on the clock of the agent; nil if there is none.
func (l *Links) confirmed(peer *freshness.PeerClock) *relay.Moment {
	at, ok := l.Confirmed()
	if !ok {
		return nil
	}

	echo, ok := peer.ToPeer(at)
	if !ok {
		return nil
	}

	return convert.ToMoment(echo)
}
