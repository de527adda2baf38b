package convert

import (
	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// UsageWindowsToWire converts the counts of an entry to messages.
func UsageWindowsToWire(windows []usage.Window) []*relay.UsageWindow {
	wire := make([]*relay.UsageWindow, 0, len(windows))

	for _, window := range windows {
		wire = append(wire, &relay.UsageWindow{Number: window.Number, Revision: window.Revision, Counts: countsToWire(window.Counts)})
	}

	return wire
}

// UsageWindowsFromWire converts messages to the counts of an entry.
func UsageWindowsFromWire(wire []*relay.UsageWindow) []usage.Window {
	windows := make([]usage.Window, 0, len(wire))

	for _, window := range wire {
		windows = append(windows, usage.Window{Number: window.GetNumber(), Revision: window.GetRevision(), Counts: countsFromWire(window.GetCounts())})
	}

	return windows
}

// UsageTalliesToWire converts the tallies of a window to messages.
func UsageTalliesToWire(tallies []usage.Tally) []*relay.UsageTally {
	wire := make([]*relay.UsageTally, 0, len(tallies))

	for _, tally := range tallies {
		wire = append(wire, &relay.UsageTally{Process: tally.Process, Revision: tally.Revision, Counts: countsToWire(tally.Counts)})
	}

	return wire
}

// UsageTalliesFromWire converts messages to the tallies of a window.
func UsageTalliesFromWire(wire []*relay.UsageTally) []usage.Tally {
	tallies := make([]usage.Tally, 0, len(wire))

	for _, tally := range wire {
		tallies = append(tallies, usage.Tally{Process: tally.GetProcess(), Revision: tally.GetRevision(), Counts: countsFromWire(tally.GetCounts())})
	}

	return tallies
}

func countsToWire(counts usage.Counts) []*relay.UsageCount {
	wire := make([]*relay.UsageCount, 0, len(counts))

	for account, n := range counts {
		wire = append(wire, &relay.UsageCount{Account: account, Count: n})
	}

	return wire
}

func countsFromWire(wire []*relay.UsageCount) usage.Counts {
	counts := make(usage.Counts, len(wire))

	for _, count := range wire {
		counts[count.GetAccount()] = count.GetCount()
	}

	return counts
}
