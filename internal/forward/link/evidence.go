package link

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// EvidenceReceiver gets what agents know of the ends of their model servers.
type EvidenceReceiver interface {
	// ReceiveEvidence records the evidence of the agent of a server.
	ReceiveEvidence(server string, evidence quarantine.Evidence)
	// KnownSound returns those of the parts on which this entry has seen responses begin.
	KnownSound(parts []string) []string
}

// receiveEvidence passes on new evidence in a state, and has the agent told which of its suspects are sound.
func (l *Links) receiveEvidence(agent *link, state *relay.State) {
	if l.Evidence == nil || state.GetEvidenceUnchanged() || len(state.GetCrashes()) == 0 {
		return
	}

	evidence := quarantine.Evidence{Crashes: convert.CrashesFromWire(time.Now(), state.GetCrashes()), Sound: state.GetSound()}

	l.mu.Lock()
	known := agent.sound
	agent.suspects, agent.sound = evidence.Suspects(), evidence.Sound
	l.mu.Unlock()

	// Only news count, since a part that was sound may end servers later.
	evidence.Sound = slices.DeleteFunc(slices.Clone(evidence.Sound), func(id string) bool { return slices.Contains(known, id) })

	l.Evidence.ReceiveEvidence(agent.id, evidence)
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

// soundSuspects returns the parts of the agent's crashes that this entry knows to be sound.
func (l *Links) soundSuspects(agent *link) []string {
	l.mu.Lock()
	suspects := agent.suspects
	l.mu.Unlock()

	if l.Evidence == nil || len(suspects) == 0 {
		return nil
	}

	return l.Evidence.KnownSound(suspects)
}

func (a *link) notifyEvidence() {
	select {
	case a.evidenceChanged <- struct{}{}:
	default:
	}
}
