package follow_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/ops"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const token = "operator"

// TestMain fixes the seed and the number of randomised runs; -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")

	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// world is a table and entries in several failure domains, connected by calls that can be cut.
type world struct {
	// t is the test inside the bubble of virtual time.
	t     *testing.T
	mu    sync.Mutex
	table table.Memory
	list  vms.List
	// processes maps an address to the process there.
	processes map[string]*process
	cut       map[string]bool
	down      bool
	// blind lists the processes that cannot reach the table.
	blind map[string]bool
	// up is when the table last came back.
	up time.Time
	// lose is the number of commits whose answers will be lost.
	lose  int
	heads []committed
	ctx   context.Context
	boots int
	// calls counts the calls of the table, and syncs those to peers.
	calls int
	syncs int
	// delay is the time that a message between processes or an answer of the table takes.
	delay func() time.Duration
}

type committed struct {
	version int64
	at      time.Time
}

type process struct {
	name, address, domain string

	board    *board.Board
	follower *follow.Follower
	server   *echo.Echo
	lookup   *keys.Lookup
	stop     context.CancelFunc
}

func newWorld(ctx context.Context, delay func() time.Duration, domains ...string) *world {
	w := &world{ctx: ctx, processes: map[string]*process{}, cut: map[string]bool{}, delay: delay}
	w.list.Sequence = 1

	for i, domain := range domains {
		name := fmt.Sprintf("entry-%d", i)
		w.list.VMs = append(w.list.VMs, vms.VM{Name: name, Address: name, Domain: domain, Role: vms.RoleEntry})
	}

	for _, vm := range w.list.VMs {
		w.start(vm)
	}

	return w
}

// start runs a new process, in place of the one before it.
func (w *world) start(vm vms.VM) *process {
	w.mu.Lock()
	defer w.mu.Unlock()

	if old := w.processes[vm.Address]; old != nil {
		old.stop()
	}

	w.boots++

	ctx, stop := context.WithCancel(w.ctx)
	p := &process{name: vm.Name, address: vm.Address, domain: vm.Domain, board: &board.Board{}, stop: stop}
	p.board.VMs.Set(w.list)
	p.lookup = &keys.Lookup{Board: p.board}

	commits := &store.Store{Table: view{w, vm.Address}}
	self := follow.Self{Name: vm.Name, Address: vm.Address, Boot: fmt.Sprint("boot-", w.boots), Domain: vm.Domain}
	p.follower = &follow.Follower{
		Board: p.board, Store: commits, Self: self, PeerClient: link{w, vm.Address}, Period: follow.EntryPeriod,
	}

	operators := []settings.Operator{{Name: "marisol", Hash: keys.Hash(token)}}
	p.server = echo.New()
	(&ops.API{Board: p.board, Store: commits, Follower: p.follower, Operators: operators, Name: vm.Name}).Register(p.server)

	w.processes[vm.Address] = p

	go func() { _ = p.follower.Run(ctx) }()

	return p
}

func (w *world) stopAll() {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, p := range w.processes {
		p.stop()
	}

	clear(w.processes)
}

func (w *world) process(i int) *process {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.processes[w.list.VMs[i%len(w.list.VMs)].Address]
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()

	change()
}

// headBefore is the newest version committed before a moment.
func (w *world) headBefore(moment time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	version := int64(0)

	for _, head := range w.heads {
		if head.at.Before(moment) {
			version = head.version
		}
	}

	return version
}

// tableUp ends an outage.
func (w *world) tableUp() {
	if w.down {
		w.up = time.Now()
	}

	w.down = false
}

func (w *world) upFor(least time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return !w.down && time.Since(w.up) > least
}

// reach returns the process at an address, or nil if a call does not arrive.
func (w *world) reach(from, to string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.cut[from] || w.cut[to] {
		return nil
	}

	return w.processes[to]
}

// link is the way from one entry to the others.
type link struct {
	world *world
	from  string
}

func (l link) Sync(ctx context.Context, address string, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
	l.world.set(func() { l.world.syncs++ })
	time.Sleep(l.world.delay())

	target := l.world.reach(l.from, address)
	if target == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	reply, err := target.follower.Sync(ctx, request)

	time.Sleep(l.world.delay())

	if ctx.Err() != nil || l.world.reach(l.from, address) == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	return reply, err
}

// view is the table as one process sees it.
type view struct {
	world *world
	from  string
}

func (v view) blocked() bool {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()

	return v.world.down || v.world.cut[v.from] || v.world.blind[v.from]
}

func (v view) wait(ctx context.Context) error {
	v.world.set(func() { v.world.calls++ })

	if !v.blocked() {
		return nil
	}

	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}

	return fault.New(fault.TableUnavailable, "no answer")
}

// answer delays an answer after the call took effect, so that it may be outdated when it arrives.
func (v view) answer() {
	time.Sleep(v.world.delay())
}

func (v view) Get(ctx context.Context, key string) (table.Row, error) {
	if err := v.wait(ctx); err != nil {
		return table.Row{}, err
	}

	defer v.answer()

	return v.world.table.Get(ctx, key)
}

func (v view) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := v.wait(ctx); err != nil {
		return nil, err
	}

	defer v.answer()

	return v.world.table.List(ctx, prefix, after, limit)
}

func (v view) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	if err := v.wait(ctx); err != nil {
		return 0, err
	}

	defer v.answer()

	v.world.mu.Lock()
	defer v.world.mu.Unlock()

	revision, err := v.world.table.Commit(ctx, txn)
	if err == nil {
		v.world.heads = append(v.world.heads, committed{version: int64(len(v.world.heads)) + 1, at: time.Now()})
	}

	if v.world.lose > 0 {
		v.world.lose--
		return 0, fault.New(fault.TableUnavailable, "answer lost")
	}

	return revision, err
}

// post calls the operator API of a process and returns the status.
func (p *process) post(path string, body any) int {
	data, _ := json.Marshal(body)

	return p.call(http.MethodPost, path, string(data)).Code
}

func (p *process) call(method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, api.Prefix+path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)

	recorder := httptest.NewRecorder()
	p.server.ServeHTTP(recorder, request)

	return recorder
}

func (p *process) inForce(t *testing.T, version int64) api.InForce {
	t.Helper()

	var report api.InForce

	answer := p.call(http.MethodGet, fmt.Sprint("/versions/", version), "")
	assert.NilError(t, json.Unmarshal(answer.Body.Bytes(), &report), answer.Body.String())

	return report
}

func (p *process) addAccount() int {
	edits := []document.Edit{{Section: document.SectionAccount, Name: "pistas", Value: []byte(`{"rate":1,"burst":1}`)}}

	return p.post("/change", api.Change{ID: "account", Version: 0, Edits: edits})
}

func (p *process) grant(id string) int {
	return p.post("/keys", api.Grant{Key: id, Account: "pistas", Hash: keys.Hash(id)})
}

func (p *process) revoke(id string) int {
	return p.post("/keys/"+id+"/revoke", api.Item{Reason: "leaked"})
}

func (p *process) fresh() bool {
	return follow.IsFresh(p.board.Confirmation.Value(), time.Now())
}

func (p *process) version() int64 {
	if d := p.board.Document.Value(); d != nil {
		return d.Version
	}

	return -1
}
