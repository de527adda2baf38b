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

// lag is how much older than MaxAge the version of a fresh entry may be: what it heard from a peer can be as old as the
// peer's last poll and the calls in between.
const lag = 4 * time.Second

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

// monitor checks each process all the time and collects what is wrong.
type monitor struct {
	world *world
	mu    sync.Mutex
	wrong []string
	// revoked lists the keys that a process has shown as revoked, by process.
	revoked  map[*process]map[string]bool
	versions map[*process]int64
	accepted map[string]bool
}

func (m *monitor) fail(format string, args ...any) {
	if len(m.wrong) < 5 {
		m.wrong = append(m.wrong, fmt.Sprintf(format, args...))
	}
}

func (m *monitor) look() {
	m.world.each(func(p *process) {
		m.mu.Lock()
		defer m.mu.Unlock()

		now := time.Now()
		version := p.version()

		if before, ok := m.versions[p]; ok && version < before {
			m.fail("%s went from version %d to %d", p.name, m.versions[p], version)
		}

		m.versions[p] = version

		// A version that was committed just before a total outage may be known to nobody until the table returns.
		if head := m.world.headBefore(now.Add(-follow.MaxAge - lag)); m.world.upFor(lag) && p.fresh() && version < head {
			m.fail("%s is fresh at version %d, %d was committed long before", p.name, version, head)
		}

		if m.revoked[p] == nil {
			m.revoked[p] = map[string]bool{}
		}

		for key := range 10 {
			id := fmt.Sprint("key-", key)
			state := p.lookup.State(id)

			if m.revoked[p][id] && state != keys.StateRevoked {
				m.fail("%s shows %s as %s after revoked", p.name, id, state)
			}

			m.revoked[p][id] = state == keys.StateRevoked
		}
	})
}

func (m *monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.look()
		time.Sleep(200 * time.Millisecond)
	}
}

func (m *monitor) do(s step) {
	w := m.world
	p := w.process(s.entry)
	id := fmt.Sprint("key-", s.key)

	switch s.kind {
	case "grant":
		p.grant(id)
	case "revoke":
		if status := p.revoke(id); status == http.StatusOK || status == http.StatusAccepted {
			m.accepted[id] = true
		}
	case "down":
		w.set(func() { w.down = true })
	case "up":
		w.set(w.tableUp)
	case "cut":
		w.set(func() {
			clear(w.cut)
			w.cut[p.address] = true
		})
	case "heal":
		w.set(func() { clear(w.cut) })
	case "restart":
		// The design loses a held revocation when the only entry that has it ends.
		if len(p.board.PendingRevocations.Value()) == 0 {
			w.start(w.list.VMs[s.entry%len(w.list.VMs)])
		}
	case "lose":
		w.set(func() { w.lose = 2 })
	}
}

// Guards against versions that go back, revoked keys that return, accepted revocations that are lost or committed twice,
// and entries that trust an old version, under any order of changes, outages, cuts, lost answers and restarts.
func TestRandomHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		seed := rapid.Uint64().Draw(rt, "delays")

		var wrong []string

		synctest.Test(t, func(t *testing.T) { wrong = history(t, steps, seed) })

		if len(wrong) > 0 {
			rt.Fatalf("%v", wrong)
		}
	})
}

func history(t *testing.T, steps []step, seed uint64) []string {
	t.Helper()

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	random := rand.New(rand.NewPCG(seed, 0))

	var guard sync.Mutex

	delay := func() time.Duration {
		guard.Lock()
		defer guard.Unlock()

		return time.Duration(random.IntN(400)) * time.Millisecond
	}

	w := newWorld(ctx, delay, "a", "a", "b", "b", "c")
	m := &monitor{world: w, revoked: map[*process]map[string]bool{}, versions: map[*process]int64{}, accepted: map[string]bool{}}

	go m.run(ctx)

	time.Sleep(3 * time.Second)

	if status := w.process(0).addAccount(); status != http.StatusOK {
		m.mu.Lock()
		m.fail("account: %d", status)
		m.mu.Unlock()
	}

	for _, s := range steps {
		m.do(s)
		time.Sleep(s.wait)
	}

	w.set(func() {
		w.tableUp()
		w.lose = 0
		clear(w.cut)
	})
	time.Sleep(30 * time.Second)
	m.end(ctx)
	cancel()
	time.Sleep(settle)

	return m.wrong
}

// end checks that all processes agree with the table once everything works again.
func (m *monitor) end(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()

	latest, err := (&store.Store{Table: &m.world.table}).Latest(ctx)
	if err != nil {
		m.fail("%v", err)
		return
	}

	m.world.each(func(p *process) {
		if p.version() != latest.Version || !p.fresh() || len(p.board.PendingRevocations.Value()) > 0 {
			m.fail("%s has version %d of %d, fresh %v, held %v", p.name, p.version(), latest.Version, p.fresh(), p.board.PendingRevocations.Value())
		}
	})

	for id := range m.accepted {
		if !latest.Keys[id].Revoked {
			m.fail("the accepted revocation of %s is lost", id)
		}
	}

	m.once(ctx)
}

func (m *monitor) once(ctx context.Context) {
	changes, err := (&store.Store{Table: &m.world.table}).Log(ctx, 0)
	if err != nil {
		m.fail("%v", err)
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
			m.fail("%s was revoked %d times", id, n)
		}
	}
}

// sized fails the test on an answer that drpc would refuse.
type sized struct {
	t    *testing.T
	link link
}

func (s sized) Sync(ctx context.Context, address string, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
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

// largeChange makes a change of about 700 kB; all together stay within a document that fits into one message.
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
