package link

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

const (
	// usageReplicas is the number of agents that keep the counts of an entry.
	usageReplicas = 3
	// usageTimeout limits one call about counts.
	usageTimeout = 300 * time.Millisecond
)

// receiveTime records the difference between the time of day of the agent's VM and the local time.
func (l *Links) receiveTime(agent *link, state *relay.State) {
	if state.GetUnixMs() == 0 {
		return
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	agent.timeDifference = time.Duration(state.GetUnixMs())*time.Millisecond - freshness.Clock()
	agent.hasTime = true
}

// TimeDifferences returns the differences between the time of day of the VMs of the connected agents and the local time.
func (l *Links) TimeDifferences() []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	var differences []time.Duration

	for _, found := range l.links {
		if found.connected && found.hasTime {
			differences = append(differences, found.timeDifference)
		}
	}

	return differences
}

// HasMostAgents reports whether at least half of the agents are connected, and at least one is. The counts of an entry are kept by three agents;
// an entry that reaches fewer than half of all agents may miss the counts of many entries.
func (l *Links) HasMostAgents() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	connected := 0

	for _, found := range l.links {
		if found.connected {
			connected++
		}
	}

	return connected > 0 && 2*connected >= len(l.links)
}

// UsageClient sends the counts of this entry for usage reports to agents, and reads those of other entries.
type UsageClient struct {
	Links *Links
	// Entry is the name of this entry, and Process the id of this process.
	Entry, Process string
}

// Record sends the counts of this entry to the agents that keep them, which are the same ones as long as they are connected.
func (u *UsageClient) Record(ctx context.Context, windows []usage.Window) {
	report := &relay.UsageReport{Entry: u.Entry, Process: u.Process, Windows: convert.UsageWindowsToWire(windows)}
	addresses := u.Links.ranked(u.Entry)
	done := make(chan struct{}, usageReplicas)
	replicas := addresses[:min(len(addresses), usageReplicas)]

	for _, address := range replicas {
		go func() {
			u.record(ctx, address, report)
			done <- struct{}{}
		}()
	}

	for range replicas {
		<-done
	}
}

// record sends the counts to the agent at an address. Errors are ignored: the next message has the counts of all windows again.
func (u *UsageClient) record(ctx context.Context, address string, report *relay.UsageReport) {
	bounded, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()

	_, _ = relay.NewDRPCRelayClient(u.Links.Pool.Get(address)).RecordUsage(bounded, report)
}

// Read returns what entries have counted in a window, as far as the connected agents know.
func (u *UsageClient) Read(ctx context.Context, window int64) []usage.Tally {
	bounded, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()

	addresses := u.Links.ranked(u.Entry)
	replies := make(chan *relay.UsageReply, len(addresses))

	for _, address := range addresses {
		go func() {
			reply, _ := relay.NewDRPCRelayClient(u.Links.Pool.Get(address)).ReadUsage(bounded, &relay.UsageQuery{Number: window})
			replies <- reply
		}()
	}

	var tallies []usage.Tally

	for range addresses {
		select {
		case <-bounded.Done():
			return tallies
		case reply := <-replies:
			tallies = append(tallies, convert.UsageTalliesFromWire(reply.GetTallies())...)
		}
	}

	return tallies
}
