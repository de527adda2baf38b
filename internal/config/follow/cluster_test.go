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

// TestMain fixes the seed and the number of checks of property tests; -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")

	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// cluster simulates a table and entries in several failure domains, with partitions and outages.
type cluster struct {
	// t is the test inside the synctest bubble.
	t     *testing.T
	mu    sync.Mutex
	table table.Memory
	list  vms.List
	// processes maps an address to the process there.
	processes   map[string]*process
	partitioned map[string]bool
	tableDown   bool
	// tableUnreachable lists the processes that cannot reach the table.
	tableUnreachable map[string]bool
	// tableUpSince is when the last outage of the table ended.
	tableUpSince time.Time
	// lostCommits is the number of the next commits whose responses are lost.
	lostCommits int
	commits     []commitRecord
	ctx         context.Context
	boots       int
	// tableCalls counts the calls to the table, and syncCalls those to peers.
	tableCalls int
	syncCalls  int
	// delay returns the latency of a message between processes or a response of the table.
	delay func() time.Duration
}

type commitRecord struct {
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

func newCluster(ctx context.Context, delay func() time.Duration, domains ...string) *cluster {
	c := &cluster{ctx: ctx, processes: map[string]*process{}, partitioned: map[string]bool{}, delay: delay}
	c.list.Sequence = 1

	for i, domain := range domains {
		name := fmt.Sprintf("entry-%d", i)
		c.list.VMs = append(c.list.VMs, vms.VM{Name: name, Address: name, Domain: domain, Role: vms.RoleEntry})
	}

	for _, vm := range c.list.VMs {
		c.start(vm)
	}

	return c
}

// start runs a new process in place of the previous one on the VM.
func (c *cluster) start(vm vms.VM) *process {
	c.mu.Lock()
	defer c.mu.Unlock()

	if old := c.processes[vm.Address]; old != nil {
		old.stop()
	}

	c.boots++

	ctx, stop := context.WithCancel(c.ctx)
	p := &process{name: vm.Name, address: vm.Address, domain: vm.Domain, board: &board.Board{}, stop: stop}
	p.board.VMs.Set(c.list)
	p.lookup = &keys.Lookup{Board: p.board}

	commits := &store.Store{Table: tableView{c, vm.Address}}
	self := follow.Self{Name: vm.Name, Address: vm.Address, Boot: fmt.Sprint("boot-", c.boots), Domain: vm.Domain}
	p.follower = &follow.Follower{
		Board: p.board, Store: commits, Self: self, PeerClient: peerLink{c, vm.Address}, Period: follow.EntryPeriod,
	}

	operators := []settings.Operator{{Name: "marisol", Hash: keys.Hash(token)}}
	p.server = echo.New()
	(&ops.API{Board: p.board, Store: commits, Follower: p.follower, Operators: operators, Name: vm.Name}).Register(p.server)

	c.processes[vm.Address] = p

	go func() { _ = p.follower.Run(ctx) }()

	return p
}

func (c *cluster) stopAll() {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, p := range c.processes {
		p.stop()
	}

	clear(c.processes)
}

func (c *cluster) process(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.processes[c.list.VMs[i%len(c.list.VMs)].Address]
}

func (c *cluster) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()

	change()
}

// versionCommittedBefore returns the newest version committed before end.
func (c *cluster) versionCommittedBefore(end time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	version := int64(0)

	for _, head := range c.commits {
		if head.at.Before(end) {
			version = head.version
		}
	}

	return version
}

// restoreTable ends an outage of the table.
func (c *cluster) restoreTable() {
	if c.tableDown {
		c.tableUpSince = time.Now()
	}

	c.tableDown = false
}

func (c *cluster) tableUpFor(least time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return !c.tableDown && time.Since(c.tableUpSince) > least
}

// route returns the process at an address, or nil if either process is partitioned.
func (c *cluster) route(from, to string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.partitioned[from] || c.partitioned[to] {
		return nil
	}

	return c.processes[to]
}

// peerLink is the network between one entry and the others.
type peerLink struct {
	cluster *cluster
	from    string
}

func (l peerLink) Sync(ctx context.Context, address string, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
	l.cluster.set(func() { l.cluster.syncCalls++ })
	time.Sleep(l.cluster.delay())

	target := l.cluster.route(l.from, address)
	if target == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	reply, err := target.follower.Sync(ctx, request)

	time.Sleep(l.cluster.delay())

	if ctx.Err() != nil || l.cluster.route(l.from, address) == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	return reply, err
}

// tableView is the table as one process reaches it.
type tableView struct {
	cluster *cluster
	from    string
}

func (v tableView) blocked() bool {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()

	return v.cluster.tableDown || v.cluster.partitioned[v.from] || v.cluster.tableUnreachable[v.from]
}

func (v tableView) checkAvailable(ctx context.Context) error {
	v.cluster.set(func() { v.cluster.tableCalls++ })

	if !v.blocked() {
		return nil
	}

	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}

	return fault.New(fault.TableUnavailable, "the table is down")
}

// delayResponse delays a response after the call took effect, so that it may be outdated when it arrives.
func (v tableView) delayResponse() {
	time.Sleep(v.cluster.delay())
}

func (v tableView) Get(ctx context.Context, key string) (table.Row, error) {
	if err := v.checkAvailable(ctx); err != nil {
		return table.Row{}, err
	}

	defer v.delayResponse()

	return v.cluster.table.Get(ctx, key)
}

func (v tableView) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := v.checkAvailable(ctx); err != nil {
		return nil, err
	}

	defer v.delayResponse()

	return v.cluster.table.List(ctx, prefix, after, limit)
}

func (v tableView) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	if err := v.checkAvailable(ctx); err != nil {
		return 0, err
	}

	defer v.delayResponse()

	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()

	revision, err := v.cluster.table.Commit(ctx, txn)
	if err == nil {
		v.cluster.commits = append(v.cluster.commits, commitRecord{version: int64(len(v.cluster.commits)) + 1, at: time.Now()})
	}

	if v.cluster.lostCommits > 0 {
		v.cluster.lostCommits--
		return 0, fault.New(fault.TableUnavailable, "the response was lost")
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

func (p *process) inForce(t *testing.T, version int64) api.VersionReport {
	t.Helper()

	var report api.VersionReport

	response := p.call(http.MethodGet, fmt.Sprint("/versions/", version), "")
	assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &report), response.Body.String())

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
	return p.post("/keys/"+id+"/revoke", api.ItemChange{Reason: "leaked"})
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
