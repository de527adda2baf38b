// Package link keeps an entry connected to the agents of all model servers and tracks the state that they report.
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
	"github.com/chestnutbeam/chestnutbeam/internal/forward/holdings"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/members"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

const (
	// stateTimeout is how long the first state of an agent may take, and stateMargin how much later than announced the next
	// one may be, before the agent counts as disconnected.
	stateTimeout = time.Second
	stateMargin  = 700 * time.Millisecond
	// leaveTimeout is how long the agent of a server that has left the list may take to be told.
	leaveTimeout = 500 * time.Millisecond
	// redialDelay is the wait before an agent is dialed again.
	redialDelay = 250 * time.Millisecond
	// removalRetention is how long the time of the removal of a server is kept.
	removalRetention = 10 * time.Minute
)

// Links holds one link for each model server: a stream to its agent that is opened again whenever it ends. Its exported
// fields are set before use.
type Links struct {
	Pool *conn.Pool
	// Port is the port on which agents listen.
	Port int
	// FirstStart is true if the whole system starts for the first time with this process.
	FirstStart bool
	// Settings returns the settings for the agent of a server; false if they are not known yet.
	Settings func(server fleet.Server) (*relay.Settings, bool)
	// SettingsVersion returns the version of the configuration from which Settings are made; -1 if there is none yet.
	SettingsVersion func() int64
	// Operator and Servers exchange the progress of both topics of the store with other entries.
	Operator, Servers *progress.Follower
	// Quarantine exchanges with agents what is known of prompt parts and requests that end servers; nil if nothing is.
	Quarantine Quarantine
	// OnLimits is called with the limits of servers of plain services that an agent holds; may be nil.
	OnLimits func(statements []throttle.Statement)
	// Versions returns the software versions of the servers of a service within the last minute, and whether there were no others; may be
	// nil.
	Versions func(service string) (versions []string, complete bool)
	// OnSoleVersion is called with the only software version of the servers of a service before this entry has read the list, as the agent of
	// a server knows it; may be nil.
	OnSoleVersion func(server fleet.Server, version string)
	// OnConfigVersion is called with the newest version of the configuration that an agent knows; may be nil.
	OnConfigVersion func(server string, version int64)
	Log             logrus.FieldLogger

	mu sync.Mutex
	// links is keyed by server id.
	links map[string]*link
	// removedAt holds when servers were removed from the list or vanished from it, for removalRetention.
	removedAt map[string]time.Time
	// list is the digest of the list by which holders are found; 0 before the first one.
	list uint64
	// behind is true if this entry has known of a newer list for longer than maxBehind and could not read it. It takes from no holder then.
	behind bool
	// firstSync is when the list was first read.
	firstSync time.Time
	// notified is closed by NotifySettings; nil if no link waits for it.
	notified chan struct{}
	// reader is true if this entry watches the store for others.
	reader bool
	// entries estimates the number of entries from what agents name.
	entries members.Count
}

// link is the connection to the agent of one model server.
type link struct {
	// id is that of the server, and address that of the agent; neither changes.
	id      string
	address string
	// openedAt is when the server was listed, or listed anew after it had vanished.
	openedAt time.Time
	// server is the latest version of the server in the list.
	server    fleet.Server
	cancel    context.CancelFunc
	state     State
	connected bool
	// held is the list of models and adapters as the messages of the current stream give it. Only the goroutine that receives them uses it.
	held holdings.Copy
	// timeDifference is the time of day of the agent's VM less the local time; it is set if hasTime is true.
	timeDifference time.Duration
	hasTime        bool
	// suspects lists the subjects of the crashes and holds that the agent has reported, and evidenceChanged is notified when the agent is
	// to be told which of them are sound; its capacity is 1.
	suspects        []string
	evidenceChanged chan struct{}
	// left is closed when the server has left the list.
	left chan struct{}
}

// Sync opens links for new model servers and closes those of removed servers. A server with a new address gets a new link. Agents are told of a
// change of the list by which holders are found.
func (l *Links) Sync(ctx context.Context, servers []fleet.Server) {
	if l.sync(ctx, servers) {
		l.NotifySettings()
	}
}

// sync is Sync and reports whether the list by which holders are found has changed.
func (l *Links) sync(ctx context.Context, servers []fleet.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()

	if l.links == nil {
		l.links = map[string]*link{}
		l.removedAt = map[string]time.Time{}
		l.firstSync = now
	}

	maps.DeleteFunc(l.removedAt, func(_ string, at time.Time) bool { return now.Sub(at) > removalRetention })

	listed := map[string]bool{}

	for _, server := range servers {
		listed[server.ID] = true

		if found := l.links[server.ID]; found != nil && found.server.Address == server.Address {
			l.update(now, found, server)
			continue
		}

		l.open(ctx, now, server)
	}

	for id, found := range l.links {
		if !listed[id] {
			close(found.left)
			time.AfterFunc(leaveTimeout, found.cancel)
			delete(l.links, id)

			if !found.server.Vanished {
				l.removedAt[id] = now
			}
		}
	}

	return l.updateList()
}

// update replaces the server of a link. One that vanishes from the list is no longer a holder, and may become one again when it is
// listed anew. The lock must be held.
func (l *Links) update(now time.Time, found *link, server fleet.Server) {
	switch {
	case server.Vanished && !found.server.Vanished:
		l.removedAt[server.ID] = now
	case !server.Vanished && found.server.Vanished:
		found.openedAt = now
	}

	found.server = server
}

// open starts the link for a server and cancels the previous one. The lock must be held.
func (l *Links) open(ctx context.Context, now time.Time, server fleet.Server) {
	if old := l.links[server.ID]; old != nil {
		old.cancel()
	}

	linkCtx, cancel := context.WithCancel(ctx)
	created := &link{id: server.ID, openedAt: now, address: l.Address(server), server: server, cancel: cancel, evidenceChanged: make(chan struct{}, 1), left: make(chan struct{})}
	l.links[server.ID] = created

	go l.run(linkCtx, created)
}

// Address returns the address of the agent on the VM of a server.
func (l *Links) Address(server fleet.Server) string {
	host, _, err := net.SplitHostPort(server.Address)
	if err != nil {
		return server.Address
	}

	return net.JoinHostPort(host, strconv.Itoa(l.Port))
}

// RecordSent adds a request of this entry to the last state that the agent reported.
func (l *Links) RecordSent(id string, urgency int, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if found := l.links[id]; found != nil {
		found.state.Sent++
		found.state.SentTokens[clampUrgency(urgency, urgencies)] += tokens
	}
}

// KnownEntries returns the largest number of entries that was named lately; 0 if none was.
func (l *Links) KnownEntries() int {
	return l.entries.Get(time.Now())
}

// HearEntries records the number of entries, which is known otherwise in a fleet without agents.
func (l *Links) HearEntries(now time.Time, count int) {
	l.entries.Hear(now, count)
}

// EntryCount returns the largest number of entries that any agent is connected to, at least 1.
func (l *Links) EntryCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	most := 1

	for _, found := range l.links {
		if found.connected {
			most = max(most, found.state.Entries)
		}
	}

	return most
}

// IsReader reports whether this entry watches the store for others: if an agent says so, or if no agent is connected.
func (l *Links) IsReader() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	connected := false

	for _, found := range l.links {
		if found.connected && found.state.Reader {
			return true
		}

		connected = connected || found.connected
	}

	return !connected
}

// updateReader wakes the followers if this entry has become a reader or is no longer one.
func (l *Links) updateReader() {
	reader := l.IsReader()

	l.mu.Lock()
	changed := reader != l.reader
	l.reader = reader
	l.mu.Unlock()

	if changed {
		l.Log.WithField("reader", reader).Info("role in watching the store changed")
		l.Operator.Wake()
		l.Servers.Wake()
	}
}

// ConnectedCount returns the number of connected agents.
func (l *Links) ConnectedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	count := 0

	for _, found := range l.links {
		if found.connected {
			count++
		}
	}

	return count
}

// run watches the agent of a link until the context ends, and dials again whenever the stream has ended.
func (l *Links) run(ctx context.Context, agent *link) {
	for ctx.Err() == nil {
		err := l.watchOnce(ctx, agent)

		if l.disconnect(agent) && ctx.Err() == nil {
			l.Log.WithField("server", agent.id).WithError(err).Warn("agent lost")
		}

		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// disconnect marks the agent of a link as disconnected and reports whether it was connected.
func (l *Links) disconnect(agent *link) bool {
	l.mu.Lock()
	was := agent.connected
	agent.connected = false
	l.mu.Unlock()

	l.updateReader()

	return was
}

// watchOnce opens a stream to the agent, sends it settings, and receives its state until the stream ends.
func (l *Links) watchOnce(parent context.Context, agent *link) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)

	// The timer also limits the dial and the wait for the first state.
	timer := time.AfterFunc(stateTimeout, func() { cancel(errors.New("agent sent nothing within the timeout")) })
	defer timer.Stop()

	stream, err := relay.NewDRPCRelayClient(l.Pool.Get(agent.address)).Watch(ctx)
	if err != nil {
		return errors.Wrap(err, "watch agent")
	}

	defer func() { _ = stream.Close() }()

	agent.held = holdings.Copy{}
	peer := &freshness.PeerClock{}
	clockKnown := make(chan struct{})

	go l.sendSettings(ctx, agent, &settingsStream{DRPCRelay_WatchClient: stream, peer: peer, clockKnown: clockKnown, soundTold: map[string]time.Time{}})

	for first := true; ; first = false {
		state, err := stream.Recv()
		if err != nil {
			return errors.Wrap(errors.CombineErrors(context.Cause(ctx), err), "receive state")
		}

		if first && !holdings.IsComplete(state) {
			return errors.New("first state does not have the whole list of adapters")
		}

		timer.Reset(max(time.Duration(state.GetIntervalMs())*time.Millisecond+stateMargin, stateTimeout))
		peer.Observe(time.Duration(state.GetClockMs())*time.Millisecond, freshness.Clock())
		l.updateState(agent, state)
		l.receiveEvidence(agent, state)
		l.receiveLimits(state)
		l.receiveTime(agent, state)

		if l.OnConfigVersion != nil {
			l.OnConfigVersion(agent.id, state.GetConfigVersion())
		}

		l.receiveSoleVersion(agent, state)

		if first {
			close(clockKnown)
		}

		if confirmation, ok := convert.ConfirmationFromWire(state.GetOperator()); ok {
			l.Operator.Observe(confirmation)
		}

		if confirmation, ok := convert.ConfirmationFromWire(state.GetServers()); ok {
			l.Servers.Observe(confirmation)
		}
	}
}
