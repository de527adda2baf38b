package link

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// Quarantine is what an entry knows of prompt parts that end model servers.
type Quarantine interface {
	// ReceiveEvidence records the evidence of the agent of a server.
	ReceiveEvidence(server string, evidence quarantine.Evidence)
	// Holds returns the parts that this entry holds, and a number that changes whenever a hold begins or is prolonged.
	Holds() ([]quarantine.Hold, int)
	// KnownSound returns what this entry knows of beginnings of responses on the parts.
	KnownSound(parts []string) []quarantine.Sound
}

// receiveEvidence passes on new evidence in a state, and has the agent told which of its suspects are sound.
func (l *Links) receiveEvidence(agent *link, state *relay.State) {
	if l.Quarantine == nil || state.GetEvidenceUnchanged() || len(state.GetCrashes())+len(state.GetHolds()) == 0 {
		return
	}

	now := time.Now()
	evidence := quarantine.Evidence{
		Crashes: convert.CrashesFromWire(now, state.GetCrashes()), Holds: convert.HoldsFromWire(now, state.GetHolds()), Sound: convert.SoundFromWire(now, state.GetSound()),
	}

	l.mu.Lock()
	agent.suspects = evidence.Suspects()
	l.mu.Unlock()

	l.Quarantine.ReceiveEvidence(agent.id, evidence)
	agent.notifyEvidence()
}

// NotifySound has the agents told that suspects among the parts are sound.
func (l *Links) NotifySound(parts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, found := range l.links {
		if slices.ContainsFunc(parts, func(id string) bool { return slices.Contains(found.suspects, id) }) {
			found.notifyEvidence()
		}
	}
}

// soundSuspects returns what this entry knows of beginnings on the parts that the agent suspects.
func (l *Links) soundSuspects(agent *link) []*relay.Sound {
	l.mu.Lock()
	suspects := agent.suspects
	l.mu.Unlock()

	if l.Quarantine == nil || len(suspects) == 0 {
		return nil
	}

	return convert.SoundToWire(time.Now(), l.Quarantine.KnownSound(suspects))
}

// holdsToSend returns the holds of this entry if one has begun since they were sent on the stream.
func (l *Links) holdsToSend(stream *settingsStream) []*relay.Hold {
	if l.Quarantine == nil {
		return nil
	}

	holds, version := l.Quarantine.Holds()
	if version == stream.holdsVersion {
		return nil
	}

	stream.holdsVersion = version

	return convert.HoldsToWire(time.Now(), holds)
}

func (a *link) notifyEvidence() {
	select {
	case a.evidenceChanged <- struct{}{}:
	default:
	}
}
