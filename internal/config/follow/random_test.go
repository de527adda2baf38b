package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// maxPeerLag is how much older than MaxConfirmationAge the version of a fresh entry may be: a confirmation by a peer can be as
// old as the last poll of the peer plus the calls in between.
const maxPeerLag = 4 * time.Second

type step struct {
	kind  string
	entry int
	key   int
	wait  time.Duration
}

func drawSteps(t *rapid.T) []step {
	kinds := rapid.SampledFrom([]string{"grant", "grant", "revoke", "revoke", "down", "up", "cut", "heal", "restart", "lose"})

	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  kinds.Draw(t, "kind"),
			entry: rapid.IntRange(0, 4).Draw(t, "entry"),
			key:   rapid.IntRange(0, 9).Draw(t, "key"),
			wait:  time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 10, 40).Draw(t, "steps")
}

// monitor checks the invariants of each process periodically and collects the violations.
type monitor struct {
	cluster    *cluster
	mu         sync.Mutex
	violations []string
	// revoked lists the keys that each process has reported as revoked.
	revoked  map[*process]map[string]bool
	versions map[*process]int64
	accepted map[string]bool
}

func (m *monitor) report(format string, args ...any) {
	if len(m.violations) < 5 {
		m.violations = append(m.violations, fmt.Sprintf(format, args...))
	}
}

func (m *monitor) check() {
	m.cluster.forEach(func(p *process) {
		m.mu.Lock()
		defer m.mu.Unlock()

		now := time.Now()
		version := p.version()

		if before, ok := m.versions[p]; ok && version < before {
			m.report("%s went from version %d to %d", p.name, m.versions[p], version)
		}

		m.versions[p] = version

		// A version that was committed just before a total outage may be unknown to all processes until the table is back.
		if head := m.cluster.versionCommittedBefore(now.Add(-follow.MaxConfirmationAge - maxPeerLag)); m.cluster.tableUpFor(maxPeerLag) && p.fresh() && version < head {
			m.report("%s is fresh at version %d, %d was committed long before", p.name, version, head)
		}

		if m.revoked[p] == nil {
			m.revoked[p] = map[string]bool{}
		}

		for key := range 10 {
			id := fmt.Sprint("key-", key)
			state := p.lookup.State(id)

			if m.revoked[p][id] && state != keys.StateRevoked {
				m.report("%s reports %s as %s after it was revoked", p.name, id, state)
			}

			m.revoked[p][id] = state == keys.StateRevoked
		}
	})
}

func (m *monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.check()
		time.Sleep(200 * time.Millisecond)
	}
}

func (m *monitor) apply(s step) {
	c := m.cluster
	p := c.process(s.entry)
	id := fmt.Sprint("key-", s.key)

	switch s.kind {
	case "grant":
		p.grant(id)
	case "revoke":
		if status := p.revoke(id); status == http.StatusOK || status == http.StatusAccepted {
			m.accepted[id] = true
		}
	case "down":
		c.set(func() { c.tableDown = true })
	case "up":
		c.set(c.restoreTable)
	case "cut":
		c.set(func() {
			clear(c.partitioned)
			c.partitioned[p.address] = true
		})
	case "heal":
		c.set(func() { clear(c.partitioned) })
	case "restart":
		// By design, a pending revocation is lost when the only entry that has it ends.
		if len(p.board.PendingRevocations.Value()) == 0 {
			c.start(c.list.VMs[s.entry%len(c.list.VMs)])
		}
	case "lose":
		c.set(func() { c.lostCommits = 2 })
	}
}

// Guards against versions that go back, revoked keys that become valid, accepted revocations that are lost or committed twice,
// and entries that serve under an old version, under any order of changes, outages, partitions, lost responses and restarts.
func TestRandomHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		seed := rapid.Uint64().Draw(rt, "delays")

		var violations []string

		synctest.Test(t, func(t *testing.T) { violations = runSteps(t, steps, seed) })

		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

func runSteps(t *testing.T, steps []step, seed uint64) []string {
	t.Helper()

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	random := rand.New(rand.NewPCG(seed, 0))

	var randomMu sync.Mutex

	delay := func() time.Duration {
		randomMu.Lock()
		defer randomMu.Unlock()

		return time.Duration(random.IntN(400)) * time.Millisecond
	}

	c := newCluster(ctx, delay, "a", "a", "b", "b", "c")
	m := &monitor{cluster: c, revoked: map[*process]map[string]bool{}, versions: map[*process]int64{}, accepted: map[string]bool{}}

	go m.run(ctx)

	time.Sleep(3 * time.Second)

	if status := c.process(0).addAccount(); status != http.StatusOK {
		m.mu.Lock()
		m.report("account: %d", status)
		m.mu.Unlock()
	}

	for _, s := range steps {
		m.apply(s)
		time.Sleep(s.wait)
	}

	c.set(func() {
		c.restoreTable()
		c.lostCommits = 0
		clear(c.partitioned)
	})
	time.Sleep(30 * time.Second)
	m.checkFinalState(ctx)
	cancel()
	time.Sleep(shutdownWait)

	return m.violations
}

// checkFinalState checks that all processes agree with the table after all faults have ended.
func (m *monitor) checkFinalState(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()

	latest, err := (&store.Store{Table: &m.cluster.table}).Latest(ctx)
	if err != nil {
		m.report("%v", err)
		return
	}

	m.cluster.forEach(func(p *process) {
		if p.version() != latest.Version || !p.fresh() || len(p.board.PendingRevocations.Value()) > 0 {
			m.report("%s has version %d of %d, fresh %v, pending %v", p.name, p.version(), latest.Version, p.fresh(), p.board.PendingRevocations.Value())
		}
	})

	for id := range m.accepted {
		if !latest.Keys[id].Revoked {
			m.report("the accepted revocation of %s is lost", id)
		}
	}

	m.checkRevokedOnce(ctx)
}

// checkRevokedOnce checks that no key is revoked by more than one change.
func (m *monitor) checkRevokedOnce(ctx context.Context) {
	changes, err := (&store.Store{Table: &m.cluster.table}).Log(ctx, 0)
	if err != nil {
		m.report("%v", err)
	}

	count := map[string]int{}

	for _, change := range changes {
		for _, edit := range change.Edits {
			var key document.Key
			if edit.Section == document.SectionKey && json.Unmarshal(edit.Value, &key) == nil && key.Revoked {
				count[edit.Name]++
			}
		}
	}

	for id, n := range count {
		if n > 1 {
			m.report("%s was revoked %d times", id, n)
		}
	}
}

// sizeChecked fails the test on a reply that drpc would refuse.
type sizeChecked struct {
	t    *testing.T
	link peerLink
}

func (s sizeChecked) Sync(ctx context.Context, address string, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
	const drpcLimit = 4 << 20

	reply, err := s.link.Sync(ctx, address, request)
	size := len(reply.GetSnapshot())

	for _, entry := range reply.GetLog() {
		size += len(entry)
	}

	assert.Assert(s.t, size < drpcLimit, "%d bytes", size)

	return reply, err
}

func accountChange() document.Change {
	edits := []document.Edit{{Section: document.SectionAccount, Name: "pistas", Value: []byte(`{"rate":1,"burst":1}`)}}

	return document.Change{Version: 1, ID: "account", Author: "marisol", Edits: edits}
}

// largeChange returns a change of about 700 kB. Names repeat between changes, so that the document fits into one message.
func largeChange(version int64, prefix string) document.Change {
	change := document.Change{Version: version, ID: prefix, Author: "marisol"}
	padding := make([]byte, 600)

	for i := range padding {
		padding[i] = 'x'
	}

	for i := range 1000 {
		value := json.RawMessage(fmt.Sprintf(`{"context":%d}`, i+1))
		name := fmt.Sprint("m", i%300, "-", string(padding))
		change.Edits = append(change.Edits, document.Edit{Section: document.SectionModel, Name: name + fmt.Sprint(i/300), Value: value})
	}

	return change
}
