package link

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// settingsPeriod is the longest time between two settings messages to an agent.
const settingsPeriod = 4 * time.Second

// settingsStream is the stream on which settings are sent to one agent.
type settingsStream struct {
	relay.DRPCRelay_WatchClient
	// peer is the clock of the agent, and clockKnown is closed once it is known.
	peer       *freshness.PeerClock
	clockKnown <-chan struct{}
	// version is that of the configuration in the last message with all settings; it is set if sent is true.
	version int64
	sent    bool
	// holdsVersion is that of the holds sent last; 0 before the first one.
	holdsVersion int
	// soundTold holds when the suspects of the agent were sound, as far as it was told on the stream.
	soundTold map[string]time.Time
}

// sendSettings sends the settings to the agent: once at the start, after each change, and at least every settingsPeriod.
func (l *Links) sendSettings(ctx context.Context, agent *link, stream *settingsStream) {
	clockKnown := stream.clockKnown

	for {
		changed := l.settingsChanged()

		if err := l.sendSettingsOnce(agent, stream); err != nil {
			return
		}

		select {
		case <-ctx.Done():
			return
		case <-agent.left:
			_ = l.sendLeft(agent, stream)
			return
		case <-changed:
		case <-agent.evidenceChanged:
		case <-clockKnown:
			// Confirmations can be sent from now on.
			clockKnown = nil
		case <-time.After(settingsPeriod):
		}
	}
}

// sendSettingsOnce sends one message, or none if there is no configuration yet.
func (l *Links) sendSettingsOnce(agent *link, stream *settingsStream) error {
	settings, ok := l.nextSettings(agent, stream)
	if !ok {
		return nil
	}

	return l.send(agent, stream, settings)
}

// sendLeft tells the agent that its server has left the list.
func (l *Links) sendLeft(agent *link, stream *settingsStream) error {
	l.mu.Lock()
	startedAt := agent.server.StartedAt
	l.mu.Unlock()

	return l.send(agent, stream, &relay.Settings{ConfigVersion: stream.version, Unchanged: true, Left: true, LeftStartMs: startedAt})
}

// send completes the settings and sends them.
func (l *Links) send(agent *link, stream *settingsStream, settings *relay.Settings) error {
	settings.Changes = true
	settings.ClockMs = freshness.Clock().Milliseconds()
	settings.Entries = int32(l.EntryCount())
	settings.List = l.statedList()
	settings.Operator = publication(l.Operator, stream.peer)
	settings.Servers = publication(l.Servers, stream.peer)
	settings.Sound = l.soundSuspects(agent, stream)
	settings.Holds = l.holdsToSend(stream)

	if l.Versions != nil {
		l.mu.Lock()
		service := agent.server.Service
		l.mu.Unlock()

		settings.Versions, settings.Complete = l.Versions(service)
	}

	stream.version, stream.sent = settings.GetConfigVersion(), true

	return stream.Send(settings)
}

// nextSettings returns the settings for an agent. If it has all settings of this version, only the version is sent.
func (l *Links) nextSettings(agent *link, stream *settingsStream) (*relay.Settings, bool) {
	if version := l.SettingsVersion(); stream.sent && version == stream.version {
		return &relay.Settings{ConfigVersion: version, Unchanged: true}, true
	}

	l.mu.Lock()
	server := agent.server
	l.mu.Unlock()

	return l.Settings(server)
}

// publication returns the message that publishes the progress of a topic to an agent; nil if there is nothing to publish.
func publication(follower *progress.Follower, peer *freshness.PeerClock) *relay.Confirmation {
	confirmation, ok := follower.Publication()
	if !ok {
		return nil
	}

	return convert.ConfirmationToWire(confirmation, peer)
}

// NotifySettings makes the links send their settings at once; it is called after a change of the
// configuration or of what is published.
func (l *Links) NotifySettings() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.notified != nil {
		close(l.notified)
		l.notified = nil
	}
}

// settingsChanged returns a channel that is closed by the next call of NotifySettings.
func (l *Links) settingsChanged() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.notified == nil {
		l.notified = make(chan struct{})
	}

	return l.notified
}
