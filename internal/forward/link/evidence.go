package link

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// crashHolders is the number of agents to which an entry passes on a crash, so that it is known although one of them ends.
const crashHolders = 2

// Quarantine is what an entry knows of prompt parts and requests that end servers.
type Quarantine interface {
	// ReceiveEvidence records the evidence of the agent of a server.
	ReceiveEvidence(server string, evidence quarantine.Evidence)
	// Holds returns what this entry holds, and a number that changes whenever a hold begins or is prolonged.
	Holds() ([]quarantine.Hold, int)
	// SoundNews returns what this entry knows of sound ones among the subjects and an agent does not, which was told what is in told,
	// and adds it there.
	SoundNews(subjects []string, told map[string]time.Time) []quarantine.Sound
}

// receiveEvidence passes on new evidence in a state, and has the agent told which of its suspects are sound.
func (l *Links) receiveEvidence(agent *link, state *relay.State) {
	if l.Quarantine == nil || len(state.GetCrashes())+len(state.GetHolds())+len(state.GetSound()) == 0 {
		return
	}

	now := time.Now()

	if state.GetEvidenceUnchanged() {
		l.Quarantine.ReceiveEvidence(agent.id, quarantine.Evidence{Sound: convert.SoundFromWire(now, state.GetSound())})
		return
	}

	evidence := quarantine.Evidence{
		Crashes: convert.CrashesFromWire(now, state.GetCrashes()), Holds: convert.HoldsFromWire(now, state.GetHolds()), Sound: convert.SoundFromWire(now, state.GetSound()),
	}

	l.mu.Lock()
	agent.suspects = evidence.Suspects()
	l.mu.Unlock()

	l.Quarantine.ReceiveEvidence(agent.id, evidence)
	agent.notifyEvidence()
}

// ReportCrash passes on the end of a server of a plain service, which this entry has recognized, to other entries by way of agents. An
// entry without agents keeps it for itself.
func (l *Links) ReportCrash(entry string, crash quarantine.Crash) {
	informed := 0

	for _, address := range l.ranked(crash.ID) {
		if informed == crashHolders {
			return
		}

		if l.reportCrash(address, &relay.CrashReport{Entry: entry, Crash: convert.CrashToWire(time.Now(), crash)}) {
			informed++
		}
	}
}

// reportCrash passes on a crash to the agent at an address and reports whether it has it.
func (l *Links) reportCrash(address string, report *relay.CrashReport) bool {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()

	_, err := relay.NewDRPCRelayClient(l.Pool.Get(address)).RecordCrash(ctx, report)

	return err == nil
}

// ranked returns the addresses of the connected agents by their scores for a key, the highest first.
func (l *Links) ranked(key string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()

	var connected []*link

	for _, found := range l.links {
		if found.connected {
			connected = append(connected, found)
		}
	}

	slices.SortFunc(connected, func(a, b *link) int { return cmp.Compare(score(key, b.id), score(key, a.id)) })

	addresses := make([]string, len(connected))
	for i, found := range connected {
		addresses[i] = found.address
	}

	return addresses
}

// NotifySound has the agents told that suspects among the subjects are sound.
func (l *Links) NotifySound(subjects []string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, found := range l.links {
		if slices.ContainsFunc(subjects, func(id string) bool { return slices.Contains(found.suspects, id) }) {
			found.notifyEvidence()
		}
	}
}

// soundSuspects returns what this entry knows to be sound of what the agent suspects, and was not told the agent on the stream.
func (l *Links) soundSuspects(agent *link, stream *settingsStream) []*relay.Sound {
	l.mu.Lock()
	suspects := agent.suspects
	l.mu.Unlock()

	if l.Quarantine == nil || len(suspects) == 0 {
		return nil
	}

	maps.DeleteFunc(stream.soundTold, func(id string, _ time.Time) bool { return !slices.Contains(suspects, id) })

	return convert.SoundToWire(time.Now(), l.Quarantine.SoundNews(suspects, stream.soundTold))
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
