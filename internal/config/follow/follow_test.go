package follow_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

func noDelay() time.Duration { return 0 }

// shutdownWait lets goroutines end their last call: virtual time stops when the test function returns.
const shutdownWait = 30 * time.Second

// runCluster runs a test in virtual time in a cluster with one account and one key, "key-a".
func runCluster(t *testing.T, domains []string, test func(c *cluster)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		c := newCluster(ctx, func() time.Duration { return time.Millisecond }, domains...)
		time.Sleep(time.Second)
		assert.Equal(t, c.process(0).addAccount(), http.StatusOK)
		assert.Equal(t, c.process(0).grant("key-a"), http.StatusOK)

		c.t = t
		test(c)
		cancel()
		time.Sleep(shutdownWait)
	})
}

func (c *cluster) forEach(check func(p *process)) {
	for i := range c.list.VMs {
		check(c.process(i))
	}
}

// Guards against a partitioned entry that keeps serving under an old version, and against refusals by the other entries.
func TestPartitionedEntryRefuses(t *testing.T) {
	runCluster(t, []string{"a", "b", "c"}, func(c *cluster) {
		t := c.t

		time.Sleep(time.Second)
		c.set(func() { c.partitioned["entry-0"] = true })
		time.Sleep(4 * time.Second)

		c.process(1).revoke("key-a")
		time.Sleep(time.Minute)
		assert.Assert(t, !c.process(0).fresh())
		assert.Assert(t, c.process(1).fresh() && c.process(2).fresh())
		assert.Equal(t, c.process(2).lookup.State("key-a"), keys.StateRevoked)

		c.set(func() { c.partitioned["entry-0"] = false })
		time.Sleep(4 * time.Second)
		assert.Assert(t, c.process(0).fresh())
		assert.Equal(t, c.process(0).lookup.State("key-a"), keys.StateRevoked)
	})
}

// Guards against calls to every failure domain in each period while the table is available, and against entries that refuse
// requests at the start of a table outage because they have not called a majority of the failure domains yet.
func TestPeersAreCalledInTurnUntilTableOutage(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e", "f", "g"}

	runCluster(t, domains, func(c *cluster) {
		t := c.t
		time.Sleep(10 * time.Second)

		var before, after int

		c.set(func() { before = c.syncCalls })
		time.Sleep(time.Minute)
		c.set(func() { after = c.syncCalls })

		// The limit is half as high again as without jitter.
		periods := int(time.Minute / follow.EntryPeriod)
		assert.Assert(t, after-before <= len(domains)*periods*3/2, "%d calls", after-before)

		c.set(func() { c.tableDown = true })

		for range 600 {
			time.Sleep(100 * time.Millisecond)
			c.forEach(func(p *process) { assert.Assert(t, p.fresh(), "%s refuses", p.name) })
		}
	})
}

// Guards against a partitioned minority of failure domains that keeps serving during a table outage.
func TestMinorityRefusesDuringTableOutage(t *testing.T) {
	runCluster(t, []string{"a", "b", "c"}, func(c *cluster) {
		t := c.t

		c.set(func() { c.tableDown = true })
		time.Sleep(time.Minute)
		c.forEach(func(p *process) { assert.Assert(t, p.fresh(), p.name) })

		c.set(func() { c.partitioned["entry-2"] = true })
		time.Sleep(7 * time.Second)
		assert.Assert(t, c.process(0).fresh() && c.process(1).fresh())
		assert.Assert(t, !c.process(2).fresh())

		c.set(func() { c.partitioned["entry-1"] = true })
		time.Sleep(7 * time.Second)
		assert.Assert(t, !c.process(0).fresh())
	})
}

// Guards against an entry that refuses requests because it cannot reach the table itself, although a peer that reaches it has
// confirmed the version.
func TestPeerConfirmsForEntryWithoutTableAccess(t *testing.T) {
	runCluster(t, []string{"a", "b", "c", "d", "e"}, func(c *cluster) {
		t := c.t

		// With three of five failure domains partitioned there is no majority.
		c.set(func() {
			c.partitioned = map[string]bool{"entry-2": true, "entry-3": true, "entry-4": true}
			c.tableUnreachable = map[string]bool{"entry-0": true}
		})
		time.Sleep(time.Minute)
		assert.Assert(t, c.process(0).fresh())

		assert.Equal(t, c.process(1).revoke("key-a"), http.StatusOK)
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.process(0).lookup.State("key-a"), keys.StateRevoked)

		c.set(func() { c.tableUnreachable["entry-1"] = true })
		time.Sleep(8 * time.Second)
		assert.Assert(t, !c.process(0).fresh() && !c.process(1).fresh())
	})
}

// Guards against agents that ignore a pending revocation, keep it after it is committed, or commit it themselves.
func TestAgentAppliesPendingRevocation(t *testing.T) {
	runCluster(t, []string{"a"}, func(c *cluster) {
		t := c.t
		shared := &board.Board{}
		agent := &follow.Follower{Board: shared, Store: &store.Store{Table: tableView{c, "agent"}}, Period: follow.AgentPeriod}

		go func() { _ = agent.Run(c.ctx) }()

		time.Sleep(5 * time.Second)
		agent.AddPendingRevocations([]*rpc.Revocation{{Key: "key-a", Change: "change-1"}})
		time.Sleep(5 * time.Second)
		assert.Equal(t, keys.StateOf(shared.Document.Value(), shared.PendingRevocations.Value(), "key-a"), keys.StateRevoked)
		assert.Assert(t, !shared.Document.Value().Keys["key-a"].Revoked, "committed by the agent")

		assert.Equal(t, c.process(0).revoke("key-a"), http.StatusOK)
		time.Sleep(5 * time.Second)
		assert.Assert(t, shared.Document.Value().Keys["key-a"].Revoked)
		assert.Equal(t, len(shared.PendingRevocations.Value()), 0)
	})
}

// Guards against a revocation that is lost in a table outage, stays at one entry, or is committed twice.
func TestRevocationDuringTableOutage(t *testing.T) {
	runCluster(t, []string{"a", "a", "b", "b", "c"}, func(c *cluster) {
		t := c.t

		time.Sleep(2 * time.Second)
		c.set(func() {
			c.tableDown = true
			c.partitioned["entry-4"] = true
		})

		began := time.Now()
		assert.Equal(t, c.process(0).revoke("key-a"), http.StatusAccepted)
		assert.Assert(t, time.Since(began) < 4*time.Second, "%s", time.Since(began))

		for i := range 4 {
			assert.Equal(t, c.process(i).lookup.State("key-a"), keys.StateRevoked, "entry-%d", i)
		}

		assert.Equal(t, c.process(4).lookup.State("key-a"), keys.StateValid)

		// The entry that accepted the revocation is replaced before the table returns.
		c.set(func() { c.partitioned["entry-4"] = false })
		c.start(c.list.VMs[0])
		time.Sleep(5 * time.Second)
		c.forEach(func(p *process) { assert.Equal(t, p.lookup.State("key-a"), keys.StateRevoked, p.name) })

		c.set(func() { c.tableDown = false })
		time.Sleep(10 * time.Second)
		c.forEach(func(p *process) {
			assert.Equal(t, p.version(), int64(3), p.name)
			assert.Equal(t, len(p.board.PendingRevocations.Value()), 0, p.name)
			assert.Assert(t, p.board.Document.Value().Keys["key-a"].Revoked, p.name)
		})
	})
}

// Guards against a report of a version as in force while an entry may still serve under an older one.
func TestInForce(t *testing.T) {
	runCluster(t, []string{"a", "b", "c"}, func(c *cluster) {
		t := c.t

		report := c.process(1).inForce(t, 2)
		assert.Assert(t, !report.InForce && report.Remaining > 4, "%v", report)

		time.Sleep(5 * time.Second)
		assert.Assert(t, c.process(1).inForce(t, 2).InForce)

		c.set(func() { c.partitioned["entry-2"] = true })
		assert.Equal(t, c.process(0).revoke("key-a"), http.StatusOK)
		time.Sleep(7 * time.Second)

		report = c.process(1).inForce(t, 3)
		assert.Assert(t, !report.InForce)
		assert.Equal(t, report.Entries[1].State, api.EntryConfirmed)
		assert.Equal(t, report.Entries[2].State, api.EntryUnreachable)
		assert.Assert(t, !c.process(2).fresh())
	})
}

// Guards against a new process that waits for the table although its peers have the configuration.
func TestNewProcessLearnsFromPeers(t *testing.T) {
	// A process that read the document from the table has no log in memory and sends the whole document.
	for name, restarted := range map[string]bool{"log": false, "whole document": true} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, []string{"a", "b", "c"}, func(c *cluster) {
				t := c.t

				if restarted {
					c.stopAll()
					c.start(c.list.VMs[0])
					time.Sleep(3 * time.Second)
					c.start(c.list.VMs[1])
				}

				time.Sleep(3 * time.Second)
				c.set(func() { c.tableDown = true })

				p := c.start(c.list.VMs[2])
				time.Sleep(5 * time.Second)
				assert.Equal(t, p.version(), int64(2))
				assert.Assert(t, p.fresh())
				assert.Equal(t, p.lookup.Find("key-a").State, keys.StateValid)
			})
		})
	}
}

// Guards against an agent that has no configuration, or an old one, until a table outage ends.
func TestAgentLearnsFromEntries(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(c *cluster) {
		t := c.t

		time.Sleep(3 * time.Second)
		c.set(func() { c.tableDown = true })

		agent := &follow.Follower{
			Board:       &board.Board{},
			Store:       &store.Store{Table: tableView{c, "agent"}},
			EntryClient: peerLink{c, "agent"},
			ListEntries: func(context.Context) []vms.VM { return c.list.VMs },
			Period:      follow.AgentPeriod,
		}

		go func() { _ = agent.Run(c.ctx) }()

		time.Sleep(5 * time.Second)
		assert.Equal(t, agent.Board.Document.Value().Version, int64(2))
		assert.Assert(t, !follow.IsFresh(agent.Board.Confirmation.Value(), time.Now()), "a reply of an entry confirms nothing to an agent")
	})
}

// Guards against an agent that does not catch up to the version that a request names, and against an agent that applies the
// confirmation of an older version to a newer one.
func TestAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{partitioned: map[string]bool{}, delay: noDelay}
		commits := &store.Store{Table: tableView{c, "operator"}}
		agent := &follow.Follower{Board: &board.Board{}, Store: &store.Store{Table: tableView{c, "agent"}}, Period: follow.AgentPeriod}

		assert.NilError(t, agent.CatchUp(t.Context(), 0))

		d, err := commits.Latest(t.Context())
		assert.NilError(t, err)

		_, err = commits.Commit(t.Context(), d, accountChange())
		assert.NilError(t, err)
		assert.NilError(t, agent.CatchUp(t.Context(), 1))
		assert.Equal(t, agent.Board.Document.Value().Version, int64(1))

		c.set(func() { c.tableDown = true })
		time.Sleep(follow.MaxConfirmationAge + time.Millisecond)

		fresh := func() bool { return follow.IsFresh(agent.Board.Confirmation.Value(), time.Now()) }
		assert.Assert(t, !fresh())
		assert.Assert(t, fault.Is(agent.CatchUp(t.Context(), 2), fault.StaleConfig))

		agent.Confirm(0, time.Now())
		agent.Confirm(1, time.Now().Add(-follow.MaxConfirmationAge-time.Second))
		assert.Assert(t, !fresh())
		agent.Confirm(1, time.Now().Add(-time.Second))
		assert.Assert(t, fresh())
	})
}

// Guards against concurrent requests for a newer version that each wait for a separate read while the table is down.
func TestCatchUpIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{partitioned: map[string]bool{}, tableDown: true}
		agent := &follow.Follower{Board: &board.Board{}, Store: &store.Store{Table: tableView{c, "agent"}}, Period: follow.AgentPeriod}
		done := make(chan error)

		for range 100 {
			go func() { done <- agent.CatchUp(context.Background(), 1) }()
		}

		for range 100 {
			assert.Assert(t, fault.Is(<-done, fault.StaleConfig))
		}

		assert.Assert(t, c.tableCalls <= 2, "%d calls", c.tableCalls)
	})
}

// Guards against a wrong majority, and against peers that count while the table is available.
func TestFreshness(t *testing.T) {
	now := time.Unix(1000, 0)
	second := func(n int) time.Time { return now.Add(-time.Duration(n) * time.Second) }

	cases := map[string]struct {
		domains []string
		peers   map[string]time.Time
		outage  bool
		want    time.Time
	}{
		"table available":         {[]string{"a", "b", "c"}, map[string]time.Time{"b": now, "c": now}, false, second(30)},
		"own domain and one peer": {[]string{"a", "b", "c"}, map[string]time.Time{"b": second(2)}, true, second(2)},
		"newest peer decides":     {[]string{"a", "b", "c"}, map[string]time.Time{"b": second(9), "c": second(1)}, true, second(1)},
		"own domain alone of two": {[]string{"a", "b"}, nil, true, second(30)},
		"three of five":           {[]string{"a", "b", "c", "d", "e"}, map[string]time.Time{"b": second(1), "d": second(3)}, true, second(3)},
		"unlisted peers":          {[]string{"a", "b", "c"}, map[string]time.Time{"x": now, "y": now}, true, second(30)},
		"no list":                 {nil, map[string]time.Time{"b": now}, true, second(30)},
		"own domain not listed":   {[]string{"b", "c", "d"}, map[string]time.Time{"b": second(1)}, true, second(30)},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fresh := follow.Freshness{Domain: "a"}
			fresh.ConfirmTable(second(30))
			fresh.SetTableAvailable(!tc.outage)

			for domain, at := range tc.peers {
				fresh.ConfirmPeer(domain, at)
			}

			assert.Equal(t, fresh.Confirmed(now, tc.domains), tc.want)
		})
	}
}

// Guards against messages above the size that drpc accepts, and against gaps, when a process is many versions behind.
func TestLargeHistory(t *testing.T) {
	rows := &table.Memory{}
	list := vms.List{VMs: []vms.VM{{Name: "x", Address: "x", Domain: "a", Role: vms.RoleEntry}, {Name: "y", Address: "y", Domain: "b", Role: vms.RoleEntry}}}
	ctx := context.Background()
	sender := &follow.Follower{Board: &board.Board{}, Store: &store.Store{Table: rows}, Self: follow.Self{Name: "x", Address: "x", Domain: "a"}}
	sender.Board.VMs.Set(list)
	assert.NilError(t, sender.CatchUpHead(ctx))

	for i := range 10 {
		change := largeChange(int64(i)+1, fmt.Sprint("m", i, "-"))
		d, err := sender.Store.Commit(ctx, sender.Board.Document.Value(), change)
		assert.NilError(t, err)
		sender.ApplyCommitted(d, change)
	}

	outage := &cluster{partitioned: map[string]bool{}, tableDown: true, delay: noDelay, processes: map[string]*process{"x": {follower: sender}}}
	receiver := &follow.Follower{
		Board: &board.Board{}, Store: &store.Store{Table: tableView{outage, "y"}}, PeerClient: sizeChecked{t, peerLink{outage, "y"}},
		Self: follow.Self{Name: "y", Address: "y", Domain: "b"},
	}
	receiver.Board.VMs.Set(list)

	for range 8 {
		receiver.SyncAll(ctx)
	}

	assert.DeepEqual(t, receiver.Board.Document.Value(), sender.Board.Document.Value())
}

// Guards against a log that was read before a newer document was applied, arrives after it and replaces it.
func TestLateAnswerChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow = 300 * time.Millisecond

		c := &cluster{partitioned: map[string]bool{}, delay: noDelay}
		commits := &store.Store{Table: &c.table}
		agent := &follow.Follower{Board: &board.Board{}, Store: &store.Store{Table: tableView{c, "agent"}}}
		d := document.Empty()
		commitNext := func() document.Change {
			change := accountChange()
			change.Version = d.Version + 1
			change.ID = fmt.Sprint(change.Version)

			next, err := commits.Commit(t.Context(), d, change)
			assert.NilError(t, err)

			d = next

			return change
		}

		commitNext()
		assert.NilError(t, agent.CatchUpHead(t.Context()))
		commitNext()

		c.delay = func() time.Duration { return slow }
		done := make(chan error)

		go func() { done <- agent.CatchUpHead(t.Context()) }()

		// The head has been received, and the read of the log up to version 2 is in flight.
		time.Sleep(slow + slow/2)

		change := commitNext()
		agent.ApplyCommitted(d, change)
		assert.Equal(t, agent.Board.Document.Value().Version, int64(3))
		assert.NilError(t, <-done)
		assert.Equal(t, agent.Board.Document.Value().Version, int64(3))
	})
}
