package link

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// usageTimeout limits one call about counts.
const usageTimeout = 300 * time.Millisecond

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

// usageAgentCount returns the number of agents that may keep counts of entries. An agent whose server has vanished from the list is one of them only
// while it is connected.
func (l *Links) usageAgentCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	count := 0

	for _, found := range l.links {
		if found.connected || !found.server.Vanished {
			count++
		}
	}

	return count
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
	done := make(chan struct{}, usage.Replicas)
	replicas := addresses[:min(len(addresses), usage.Replicas)]

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

// Read returns what entries have counted in a window, as far as the connected agents know and answer, and whether these know the counts of all
// entries.
func (u *UsageClient) Read(ctx context.Context, window int64) (tallies []usage.Tally, complete bool) {
	bounded, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()

	addresses := u.Links.ranked(u.Entry)
	replies := make(chan *relay.UsageReply, len(addresses))

	for _, address := range addresses {
		go func() {
			reply, err := relay.NewDRPCRelayClient(u.Links.Pool.Get(address)).ReadUsage(bounded, &relay.UsageQuery{Number: window})
			if err != nil {
				reply = nil
			}

			replies <- reply
		}()
	}

	answered := 0

	for range addresses {
		select {
		case <-bounded.Done():
			return tallies, usage.Complete(u.Links.usageAgentCount(), answered)
		case reply := <-replies:
			if reply == nil {
				continue
			}

			answered++

			tallies = append(tallies, convert.UsageTalliesFromWire(reply.GetTallies())...)
		}
	}

	return tallies, usage.Complete(u.Links.usageAgentCount(), answered)
}
