package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// Guards against the clocks of agents that are not connected, or have earlier software and state no time of day.
func TestTimeDifferences(t *testing.T) {
	l := &Links{links: map[string]*link{"a": {connected: true}, "b": {connected: true}, "c": {}}}
	now := time.Now().UnixMilli()

	l.receiveTime(l.links["a"], &relay.State{UnixMs: now})
	l.receiveTime(l.links["b"], &relay.State{})
	l.receiveTime(l.links["c"], &relay.State{UnixMs: now})

	differences := l.TimeDifferences()
	assert.Equal(t, len(differences), 1)

	// The difference is as old as the message, whose age is that of this test.
	stated := time.Duration(now)*time.Millisecond - differences[0]
	assert.Assert(t, stated <= freshness.Clock())
	assert.Assert(t, stated > 0)
}

// Guards against reports of an entry that is cut off from the agents, which know the counts of the others.
func TestHasMostAgents(t *testing.T) {
	cases := map[string]struct {
		links map[string]*link
		want  bool
	}{
		"none listed":  {},
		"half":         {links: map[string]*link{"a": {connected: true}, "b": {}}, want: true},
		"less":         {links: map[string]*link{"a": {connected: true}, "b": {}, "c": {}}},
		"none reached": {links: map[string]*link{"a": {}}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, (&Links{links: c.links}).HasMostAgents(), c.want) })
	}
}

// Guards against a count that is taken for complete while agents of listed servers are not connected, and against a report that waits for the agents
// of servers that have gone.
func TestAgentsThatMayKeepCounts(t *testing.T) {
	l := &Links{links: map[string]*link{
		"connected": {connected: true}, "lost": {},
		"vanished": {server: fleet.Server{Vanished: true}}, "unlisted": {connected: true, server: fleet.Server{Vanished: true}},
	}}

	assert.Equal(t, l.usageAgentCount(), 3)
}

// Guards against a reading that is taken for complete although no agent answers.
func TestReadWithoutAnswers(t *testing.T) {
	pool := conn.New(func(context.Context, string) (net.Conn, error) { return nil, errors.New("no connection") })
	client := &UsageClient{Entry: "vm-1", Links: &Links{Pool: pool, links: map[string]*link{"lost": {}, "refusing": {connected: true, address: "a:1"}}}}

	tallies, complete := client.Read(t.Context(), 7)
	assert.Equal(t, len(tallies), 0)
	assert.Assert(t, !complete)
}
