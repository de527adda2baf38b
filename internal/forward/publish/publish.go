// Package publish decides when an agent sends its state to an entry, and which parts of it. Every agent sends its state to every
// entry, so that the number of messages is the product of both; the time between two messages therefore grows with the number
// of entries, and the messages of one agent stay bounded.
package publish

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

const (
	// minInterval is the shortest time between two messages to one entry, and maxInterval the longest while there are few entries.
	minInterval = 80 * time.Millisecond
	maxInterval = 300 * time.Millisecond
	// messagesPerSecond is the number of messages about its load that an agent sends to all entries together. Only messages about
	// readiness, adapters and the operator's configuration, which change rarely, are sent beyond it.
	messagesPerSecond = 300
)

// Intervals returns the shortest and the longest time between two messages to one of the given number of entries.
func Intervals(entries int) (shortest, longest time.Duration) {
	shortest = max(minInterval, time.Duration(entries)*time.Second/messagesPerSecond)

	return shortest, max(maxInterval, shortest)
}

// Content is what a message is about.
type Content struct {
	State schedule.State
	// Operator is the newest change of the operator's configuration that an entry has published.
	Operator progress.Mark
	// Evidence is the version of what is known of the ends of the server, and Sound that of what shows their suspects to be sound. The
	// latter changes often after an end, and is sent with the next message.
	Evidence, Sound int
	// Limits is the version of the limits of servers of plain services.
	Limits int
}

// Publisher decides about the messages to one entry.
type Publisher struct {
	// last is the content of the last message, which was sent at sentAt; both are set if sent is true.
	last   Content
	sentAt time.Time
	sent   bool
}

// Wait returns how long to wait before the content is sent, 0 or less if it is to be sent now. A change of readiness is sent at
// once, since an entry sends requests to a server until it knows of it, and so is a change of a limit or of the operator's configuration. A
// change of the models or adapters waits for minInterval only: an entry that does not know of it has adapters loaded twice.
func (p *Publisher) Wait(now time.Time, content Content, entries int) time.Duration {
	if !p.sent || p.isUrgent(&content) {
		return 0
	}

	shortest, longest := Intervals(entries)
	age := now.Sub(p.sentAt)

	switch {
	case !sameHoldings(&content.State, &p.last.State):
		return minInterval - age
	case !sameLoad(&content.State, &p.last.State):
		return shortest - age
	default:
		return longest - age
	}
}

// Pause returns how long to pause before Wait is called again, given its result, and whether a change of the load ends the pause.
// Before the shortest interval has passed, such a change is not sent anyway.
func (p *Publisher) Pause(now time.Time, wait time.Duration, entries int) (pause time.Duration, endsWithLoad bool) {
	shortest, _ := Intervals(entries)

	if left := shortest - now.Sub(p.sentAt); left > 0 {
		return min(wait, left), false
	}

	return wait, true
}

// Unchanged tells which parts of a message are those of the previous one and can be omitted.
type Unchanged struct {
	// Holdings are the models and adapters.
	Holdings bool
	// Adapters are those of the previous message, to which changes relate; empty before the first one.
	Adapters []schedule.HeldAdapter
	Evidence bool
	Limits   bool
	// Sound is the version of Content.Sound in the previous message; only what has changed since is sent.
	Sound int
}

// Record records that the content is sent, and returns what it has in common with the previous message.
func (p *Publisher) Record(now time.Time, content Content) Unchanged {
	unchanged := Unchanged{
		Holdings: p.sent && sameHoldings(&content.State, &p.last.State),
		Evidence: p.sent && content.Evidence == p.last.Evidence,
		Limits:   p.sent && content.Limits == p.last.Limits,
		Adapters: p.last.State.Adapters,
		Sound:    p.last.Sound,
	}
	p.last, p.sentAt, p.sent = content, now, true

	return unchanged
}

func (p *Publisher) isUrgent(content *Content) bool {
	return content.State.Ready != p.last.State.Ready || content.State.Draining != p.last.State.Draining || content.Operator != p.last.Operator ||
		content.Evidence != p.last.Evidence || content.Limits != p.last.Limits || content.State.StartSpacing != p.last.State.StartSpacing
}

func sameHoldings(one, other *schedule.State) bool {
	return slices.Equal(one.Models, other.Models) && slices.Equal(one.Adapters, other.Adapters)
}

// sameLoad leaves the rate out: it is an average, and goes with the next message.
func sameLoad(one, other *schedule.State) bool {
	return one.Running == other.Running && one.Backlog == other.Backlog &&
		one.QueuedTokens == other.QueuedTokens && one.PrefillTokens == other.PrefillTokens && one.Slowness == other.Slowness &&
		one.Fetches == other.Fetches && one.IdleAdapterSlots == other.IdleAdapterSlots
}
