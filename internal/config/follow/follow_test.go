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

// settle lets goroutines end their last call; virtual time stops with the test function.
const settle = 30 * time.Second

// inWorld runs a test in virtual time with an account and one key, "key-a".
func inWorld(t *testing.T, domains []string, test func(w *world)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		w := newWorld(ctx, func() time.Duration { return time.Millisecond }, domains...)
		time.Sleep(time.Second)
		assert.Equal(t, w.process(0).addAccount(), http.StatusOK)
		assert.Equal(t, w.process(0).grant("key-a"), http.StatusOK)

		w.t = t
		test(w)
		cancel()
		time.Sleep(settle)
	})
}

func (w *world) each(check func(p *process)) {
	for i := range w.list.VMs {
		check(w.process(i))
	}
}

// Guards against a process without contact that works on under an old version, and against refusals by the others.
func TestCutOffEntryRefuses(t *testing.T) {
	inWorld(t, []string{"a", "b", "c"}, func(w *world) {
		t := w.t

		time.Sleep(time.Second)
		w.set(func() { w.cut["entry-0"] = true })
		time.Sleep(4 * time.Second)

		w.process(1).revoke("key-a")
		time.Sleep(time.Minute)
		assert.Assert(t, !w.process(0).fresh())
		assert.Assert(t, w.process(1).fresh() && w.process(2).fresh())
		assert.Equal(t, w.process(2).lookup.State("key-a"), keys.StateRevoked)

		w.set(func() { w.cut["entry-0"] = false })
		time.Sleep(4 * time.Second)
		assert.Assert(t, w.process(0).fresh())
		assert.Equal(t, w.process(0).lookup.State("key-a"), keys.StateRevoked)
	})
}

// Guards against calls to every failure domain in each period while the table answers, and against entries that refuse work
// at the start of an outage because they had not called enough of them.
func TestPeersAreCalledInTurnUntilTheTableIsSilent(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e", "f", "g"}

	inWorld(t, domains, func(w *world) {
		t := w.t
		time.Sleep(10 * time.Second)

		var before, after int

		w.set(func() { before = w.syncs })
		time.Sleep(time.Minute)
		w.set(func() { after = w.syncs })

		// Half of a minute's periods more allows for the jitter.
		periods := int(time.Minute / follow.EntryPeriod)
		assert.Assert(t, after-before <= len(domains)*periods*3/2, "%d calls", after-before)

		w.set(func() { w.down = true })

		for range 600 {
			time.Sleep(100 * time.Millisecond)
			w.each(func(p *process) { assert.Assert(t, p.fresh(), "%s refuses", p.name) })
		}
	})
}

// Guards against a failure domain that is partitioned alone, with the table down, and goes on.
func TestMinorityRefusesDuringTableOutage(t *testing.T) {
	inWorld(t, []string{"a", "b", "c"}, func(w *world) {
		t := w.t

		w.set(func() { w.down = true })
		time.Sleep(time.Minute)
		w.each(func(p *process) { assert.Assert(t, p.fresh(), p.name) })

		w.set(func() { w.cut["entry-2"] = true })
		time.Sleep(7 * time.Second)
		assert.Assert(t, w.process(0).fresh() && w.process(1).fresh())
		assert.Assert(t, !w.process(2).fresh())

		w.set(func() { w.cut["entry-1"] = true })
		time.Sleep(7 * time.Second)
		assert.Assert(t, !w.process(0).fresh())
	})
}

// Guards against an entry that refuses because it alone cannot reach the table, although a peer has confirmed the version.
func TestPeerRelaysTable(t *testing.T) {
	inWorld(t, []string{"a", "b", "c", "d", "e"}, func(w *world) {
		t := w.t

		// With three of five failure domains gone there is no majority.
		w.set(func() {
			w.cut = map[string]bool{"entry-2": true, "entry-3": true, "entry-4": true}
			w.blind = map[string]bool{"entry-0": true}
		})
		time.Sleep(time.Minute)
		assert.Assert(t, w.process(0).fresh())

		assert.Equal(t, w.process(1).revoke("key-a"), http.StatusOK)
		time.Sleep(3 * time.Second)
		assert.Equal(t, w.process(0).lookup.State("key-a"), keys.StateRevoked)

		w.set(func() { w.blind["entry-1"] = true })
		time.Sleep(8 * time.Second)
		assert.Assert(t, !w.process(0).fresh() && !w.process(1).fresh())
	})
}

// Guards against agents that ignore a revocation held by entries, keep it after it is committed, or commit it themselves.
func TestAgentHoldsRevocation(t *testing.T) {
	inWorld(t, []string{"a"}, func(w *world) {
		t := w.t
		shared := &board.Board{}
		agent := &follow.Follower{Board: shared, Store: &store.Store{Table: view{w, "agent"}}, Period: follow.AgentPeriod}

		go func() { _ = agent.Run(w.ctx) }()

		time.Sleep(5 * time.Second)
		agent.AddPendingRevocations([]*rpc.Revocation{{Key: "key-a", Change: "change-1"}})
		time.Sleep(5 * time.Second)
		assert.Equal(t, keys.StateOf(shared.Document.Value(), shared.PendingRevocations.Value(), "key-a"), keys.StateRevoked)
		assert.Assert(t, !shared.Document.Value().Keys["key-a"].Revoked, "committed by the agent")

		assert.Equal(t, w.process(0).revoke("key-a"), http.StatusOK)
		time.Sleep(5 * time.Second)
		assert.Assert(t, shared.Document.Value().Keys["key-a"].Revoked)
		assert.Equal(t, len(shared.PendingRevocations.Value()), 0)
	})
}

// Guards against a revocation that is lost in a table outage, stays at one entry, or is committed twice.
func TestRevocationDuringTableOutage(t *testing.T) {
	inWorld(t, []string{"a", "a", "b", "b", "c"}, func(w *world) {
		t := w.t

		time.Sleep(2 * time.Second)
		w.set(func() {
			w.down = true
			w.cut["entry-4"] = true
		})

		began := time.Now()
		assert.Equal(t, w.process(0).revoke("key-a"), http.StatusAccepted)
		assert.Assert(t, time.Since(began) < 4*time.Second, "%s", time.Since(began))

		for i := range 4 {
			assert.Equal(t, w.process(i).lookup.State("key-a"), keys.StateRevoked, "entry-%d", i)
		}

		assert.Equal(t, w.process(4).lookup.State("key-a"), keys.StateValid)

		// The entry that accepted the revocation is replaced before the table returns.
		w.set(func() { w.cut["entry-4"] = false })
		w.start(w.list.VMs[0])
		time.Sleep(5 * time.Second)
		w.each(func(p *process) { assert.Equal(t, p.lookup.State("key-a"), keys.StateRevoked, p.name) })

		w.set(func() { w.down = false })
		time.Sleep(10 * time.Second)
		w.each(func(p *process) {
			assert.Equal(t, p.version(), int64(3), p.name)
			assert.Equal(t, len(p.board.PendingRevocations.Value()), 0, p.name)
			assert.Assert(t, p.board.Document.Value().Keys["key-a"].Revoked, p.name)
		})
	})
}

// Guards against a report of a version as in force while an entry may still work under an older one.
func TestInForce(t *testing.T) {
	inWorld(t, []string{"a", "b", "c"}, func(w *world) {
		t := w.t

		report := w.process(1).inForce(t, 2)
		assert.Assert(t, !report.InForce && report.Remaining > 4, "%v", report)

		time.Sleep(5 * time.Second)
		assert.Assert(t, w.process(1).inForce(t, 2).InForce)

		w.set(func() { w.cut["entry-2"] = true })
		assert.Equal(t, w.process(0).revoke("key-a"), http.StatusOK)
		time.Sleep(7 * time.Second)

		report = w.process(1).inForce(t, 3)
		assert.Assert(t, !report.InForce)
		assert.Equal(t, report.Entries[1].State, api.EntryConfirmed)
		assert.Equal(t, report.Entries[2].State, api.EntryUnreachable)
		assert.Assert(t, !w.process(2).fresh())
	})
}

// Guards against a new process that waits for the table although peers have the configuration.
func TestNewProcessLearnsFromPeers(t *testing.T) {
	// A process that read the document from the table has no log in memory and sends the whole document.
	for name, restarted := range map[string]bool{"log": false, "whole document": true} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, []string{"a", "b", "c"}, func(w *world) {
				t := w.t

				if restarted {
					w.stopAll()
					w.start(w.list.VMs[0])
					time.Sleep(3 * time.Second)
					w.start(w.list.VMs[1])
				}

				time.Sleep(3 * time.Second)
				w.set(func() { w.down = true })

				p := w.start(w.list.VMs[2])
				time.Sleep(5 * time.Second)
				assert.Equal(t, p.version(), int64(2))
				assert.Assert(t, p.fresh())
				assert.Equal(t, p.lookup.Find("key-a").State, keys.StateValid)
			})
		})
	}
}

// Guards against an agent that has no configuration, or an old one, for as long as the table is down.
func TestAgentLearnsFromEntries(t *testing.T) {
	inWorld(t, []string{"a", "b"}, func(w *world) {
		t := w.t

		time.Sleep(3 * time.Second)
		w.set(func() { w.down = true })

		agent := &follow.Follower{
			Board:       &board.Board{},
			Store:       &store.Store{Table: view{w, "agent"}},
			EntryClient: link{w, "agent"},
			ListEntries: func(context.Context) []vms.VM { return w.list.VMs },
			Period:      follow.AgentPeriod,
		}

		go func() { _ = agent.Run(w.ctx) }()

		time.Sleep(5 * time.Second)
		assert.Equal(t, agent.Board.Document.Value().Version, int64(2))
		assert.Assert(t, !follow.IsFresh(agent.Board.Confirmation.Value(), time.Now()), "entries alone confirm nothing to an agent")
	})
}

// Guards against an agent that misses a version that a request names, and against one that takes an older
// confirmation for a newer version.
func TestAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{cut: map[string]bool{}, delay: noDelay}
		commits := &store.Store{Table: view{w, "operator"}}
		agent := &follow.Follower{Board: &board.Board{}, Store: &store.Store{Table: view{w, "agent"}}, Period: follow.AgentPeriod}

		assert.NilError(t, agent.CatchUp(t.Context(), 0))

		d, err := commits.Latest(t.Context())
		assert.NilError(t, err)

		_, err = commits.Commit(t.Context(), d, accountChange())
		assert.NilError(t, err)
		assert.NilError(t, agent.CatchUp(t.Context(), 1))
		assert.Equal(t, agent.Board.Document.Value().Version, int64(1))

		w.set(func() { w.down = true })
		time.Sleep(follow.MaxAge + time.Millisecond)

		fresh := func() bool { return follow.IsFresh(agent.Board.Confirmation.Value(), time.Now()) }
		assert.Assert(t, !fresh())
		assert.Assert(t, fault.Is(agent.CatchUp(t.Context(), 2), fault.StaleConfig))

		agent.Confirm(0, time.Now())
		agent.Confirm(1, time.Now().Add(-follow.MaxAge-time.Second))
		assert.Assert(t, !fresh())
		agent.Confirm(1, time.Now().Add(-time.Second))
		assert.Assert(t, fresh())
	})
}

// Guards against many requests for a newer version each waiting for a read of their own while the table is down.
func TestCatchUpIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{cut: map[string]bool{}, down: true}
		agent := &follow.Follower{Board: &board.Board{}, Store: &store.Store{Table: view{w, "agent"}}, Period: follow.AgentPeriod}
		done := make(chan error)

		for range 100 {
			go func() { done <- agent.CatchUp(context.Background(), 1) }()
		}

		for range 100 {
			assert.Assert(t, fault.Is(<-done, fault.StaleConfig))
		}

		assert.Assert(t, w.calls <= 2, "%d calls", w.calls)
	})
}

// Guards against a wrong majority, and against peers that count although the table answers.
func TestFreshness(t *testing.T) {
	now := time.Unix(1000, 0)
	second := func(n int) time.Time { return now.Add(-time.Duration(n) * time.Second) }

	cases := map[string]struct {
		domains []string
		peers   map[string]time.Time
		silent  bool
		want    time.Time
	}{
		"table answers":           {[]string{"a", "b", "c"}, map[string]time.Time{"b": now, "c": now}, false, second(30)},
		"majority with own":       {[]string{"a", "b", "c"}, map[string]time.Time{"b": second(2)}, true, second(2)},
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
			fresh.SetTableAvailable(!tc.silent)

			for domain, at := range tc.peers {
				fresh.ConfirmPeer(domain, at)
			}

			assert.Equal(t, fresh.Confirmed(now, tc.domains), tc.want)
		})
	}
}

// Guards against messages above the size that drpc accepts, and against gaps, when much has to be caught up.
func TestLargeHistory(t *testing.T) {
	rows := &table.Memory{}
	list := vms.List{VMs: []vms.VM{{Name: "x", Address: "x", Domain: "a", Role: vms.RoleEntry}, {Name: "y", Address: "y", Domain: "b", Role: vms.RoleEntry}}}
	ctx := context.Background()
	serving := &follow.Follower{Board: &board.Board{}, Store: &store.Store{Table: rows}, Self: follow.Self{Name: "x", Address: "x", Domain: "a"}}
	serving.Board.VMs.Set(list)
	assert.NilError(t, serving.CatchUpHead(ctx))

	for i := range 10 {
		change := largeChange(int64(i)+1, fmt.Sprint("m", i, "-"))
		d, err := serving.Store.Commit(ctx, serving.Board.Document.Value(), change)
		assert.NilError(t, err)
		serving.ApplyCommitted(d, change)
	}

	down := &world{cut: map[string]bool{}, down: true, delay: noDelay, processes: map[string]*process{"x": {follower: serving}}}
	learning := &follow.Follower{
		Board: &board.Board{}, Store: &store.Store{Table: view{down, "y"}}, PeerClient: sized{t, link{down, "y"}},
		Self: follow.Self{Name: "y", Address: "y", Domain: "b"},
	}
	learning.Board.VMs.Set(list)

	for range 8 {
		learning.SyncAll(ctx)
	}

	assert.DeepEqual(t, learning.Board.Document.Value(), serving.Board.Document.Value())
}

// Guards against a log that was read before the newest document was learned and arrives after it.
func TestLateAnswerChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow = 300 * time.Millisecond

		w := &world{cut: map[string]bool{}, delay: noDelay}
		commits := &store.Store{Table: &w.table}
		agent := &follow.Follower{Board: &board.Board{}, Store: &store.Store{Table: view{w, "agent"}}}
		d := document.Empty()
		grow := func() document.Change {
			change := accountChange()
			change.Version = d.Version + 1
			change.ID = fmt.Sprint(change.Version)

			next, err := commits.Commit(t.Context(), d, change)
			assert.NilError(t, err)

			d = next

			return change
		}

		grow()
		assert.NilError(t, agent.CatchUpHead(t.Context()))
		grow()

		w.delay = func() time.Duration { return slow }
		done := make(chan error)

		go func() { done <- agent.CatchUpHead(t.Context()) }()

		// The head has arrived, and the log up to version 2 is on its way.
		time.Sleep(slow + slow/2)

		change := grow()
		agent.ApplyCommitted(d, change)
		assert.Equal(t, agent.Board.Document.Value().Version, int64(3))
		assert.NilError(t, <-done)
		assert.Equal(t, agent.Board.Document.Value().Version, int64(3))
	})
}
