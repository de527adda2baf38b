package integration_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/assign"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/ledger"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/pipe"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	account = "press"
	// convergeTime is enough virtual time for every entry to poll the table.
	convergeTime = 5 * time.Second
)

// fleet runs entry processes within one test. They are connected by in-memory connections.
type fleet struct {
	t     *testing.T
	table *faultyTable
	doc   *document.Document

	mu      sync.Mutex
	entries map[string]*entry
	list    vms.List
	boots   int
	added   int
	random  *rand.Rand
}

// entry is one entry process. The fleet sets the fields of its board that other packages set in a real process.
type entry struct {
	rpc.DRPCLimitUnimplementedServer
	rpc.DRPCPeerUnimplementedServer

	self   board.Holder
	board  *board.Board
	holder *holder.Holder
	ledger *ledger.Ledger
	assign *assign.Controller
	pool   *conn.Pool
	listen *pipe.Listener
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu sync.Mutex
	// thawed is closed while the entry is not frozen.
	thawed chan struct{}
	// lossRate is the probability that the reply to a debit or refund is lost.
	lossRate float64
	random   *rand.Rand
}

func newFleet(t *testing.T, rate float64, burst int64, seed uint64) *fleet {
	t.Helper()

	accounts := map[string]document.Account{account: {Rate: rate, Burst: burst}}

	return &fleet{
		t:       t,
		table:   &faultyTable{random: rand.New(rand.NewPCG(seed, 1))},
		doc:     &document.Document{Version: 1, Accounts: accounts},
		entries: map[string]*entry{},
		random:  rand.New(rand.NewPCG(seed, 2)),
	}
}

// start runs a new entry process on a VM, and lists the VM if it is not listed yet.
func (f *fleet) start(name, domain string) *entry {
	f.mu.Lock()
	f.boots++
	address := name + ":1"
	self := board.Holder{VM: name, Address: address, Boot: fmt.Sprintf("boot-%d", f.boots), Domain: domain}
	f.mu.Unlock()

	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{self: self, board: &board.Board{}, pool: conn.New(f.dial), listen: pipe.New(), cancel: cancel}
	e.thawed = make(chan struct{})
	close(e.thawed)
	e.random = rand.New(rand.NewPCG(uint64(f.boots), 3))
	e.holder = &holder.Holder{Board: e.board, Boot: self.Boot}
	e.assign = &assign.Controller{Board: e.board, Table: f.table, Holder: e.holder, Self: self, FetchBootID: assign.BootIDFetcher(e.pool)}
	e.ledger = &ledger.Ledger{Board: e.board, Pool: e.pool, Local: e.holder, OnStale: e.assign.RequestPoll}

	f.mu.Lock()
	f.entries[address] = e
	e.board.Document.Set(f.doc)

	f.mu.Unlock()
	f.listVM(name, domain)
	f.syncBoards()

	e.done.Go(func() { _ = e.assign.Run(ctx) })
	e.done.Go(func() { _ = e.holder.Run(ctx) })
	e.done.Go(func() {
		_ = conn.Serve(ctx, e.listen, func(mux *drpcmux.Mux) error {
			return errors.Join(rpc.DRPCRegisterLimit(mux, e), rpc.DRPCRegisterPeer(mux, e))
		})
	})

	return e
}

// syncBoards updates the board of every entry, as config/follow and fleet/member do in a real process.
func (f *fleet) syncBoards() {
	f.mu.Lock()
	defer f.mu.Unlock()

	peers := map[string]board.Peer{}
	for address, e := range f.entries {
		peers[address] = board.Peer{Name: e.self.VM, Boot: e.self.Boot, Domain: e.self.Domain, LastContact: time.Now()}
	}

	for _, e := range f.entries {
		e.board.Peers.Set(peers)
		e.board.VMs.Set(f.list)

		if e.board.Document.Value() != f.doc {
			e.board.Document.Set(f.doc)
		}
	}
}

// listVM adds a VM to the platform's list, unless it is listed.
func (f *fleet) listVM(name, domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.isListed(name) {
		return
	}

	extended := append(slices.Clone(f.list.VMs), vms.VM{Name: name, Address: name + ":1", Domain: domain, Role: vms.RoleEntry})
	f.list = vms.List{Sequence: f.list.Sequence + 1, VMs: extended}
}

// startAll lists and starts an entry vm-<domain> in each failure domain, and waits until each has polled the table.
func (f *fleet) startAll(domains ...string) []*entry {
	for _, domain := range domains {
		f.listVM("vm-"+domain, domain)
	}

	entries := make([]*entry, 0, len(domains))
	for _, domain := range domains {
		entries = append(entries, f.start("vm-"+domain, domain))
	}

	time.Sleep(convergeTime)

	return entries
}

// isListed reports whether a VM is on the platform's list. The caller must hold f.mu.
func (f *fleet) isListed(name string) bool {
	for _, vm := range f.list.VMs {
		if vm.Name == name {
			return true
		}
	}

	return false
}

// kill ends an entry process without a drain.
func (f *fleet) kill(e *entry) {
	f.mu.Lock()
	delete(f.entries, e.self.Address)
	f.mu.Unlock()

	e.thaw()
	e.holder.Stop()
	e.cancel()
	_ = e.listen.Close()
	e.done.Wait()
	_ = e.pool.Close()
}

// unlistVM removes a VM from the platform's list.
func (f *fleet) unlistVM(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	var kept []vms.VM

	for _, vm := range f.list.VMs {
		if vm.Name != name {
			kept = append(kept, vm)
		}
	}

	f.list = vms.List{Sequence: f.list.Sequence + 1, VMs: kept}
}

// stop ends every entry on the list.
func (f *fleet) stop() {
	for _, e := range f.running() {
		f.kill(e)
	}

	// Refunds to ended entries are retried for less than this time.
	time.Sleep(convergeTime)
}

// running returns the running entries in the order of the VM list.
func (f *fleet) running() []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()

	var found []*entry

	for _, vm := range f.list.VMs {
		if e := f.entries[vm.Address]; e != nil {
			found = append(found, e)
		}
	}

	return found
}

// dial connects to the entry at an address.
func (f *fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	f.mu.Lock()
	e := f.entries[address]
	f.mu.Unlock()

	if e == nil {
		return nil, errors.New("connection refused")
	}

	return e.listen.Dial(ctx)
}

// freeze delays every request to the entry until thaw.
func (e *entry) freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()

	select {
	case <-e.thawed:
		e.thawed = make(chan struct{})
	default:
	}
}

// thaw ends freeze.
func (e *entry) thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()

	select {
	case <-e.thawed:
	default:
		close(e.thawed)
	}
}

func (e *entry) setLossRate(rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.lossRate = rate
}

// simulateDelivery waits while the entry is frozen and then for a network delay. It reports whether the reply is lost.
func (e *entry) simulateDelivery(ctx context.Context) bool {
	e.mu.Lock()
	thawed := e.thawed
	delay := time.Duration(e.random.Int64N(int64(3 * time.Millisecond)))
	lost := e.random.Float64() < e.lossRate
	e.mu.Unlock()

	// The context of the sender is not used, because a request that has arrived is executed even if its sender has canceled it.
	_ = ctx

	<-thawed
	time.Sleep(delay)

	return lost
}

// Debit implements the Limit service with the injected faults.
func (e *entry) Debit(ctx context.Context, request *rpc.DebitRequest) (*rpc.DebitReply, error) {
	lost := e.simulateDelivery(ctx)

	reply, err := e.holder.Debit(ctx, request)
	if lost {
		return nil, errors.New("reply lost")
	}

	return reply, err
}

// Sync implements the part of the Peer service that assign uses.
func (e *entry) Sync(ctx context.Context, _ *rpc.SyncRequest) (*rpc.SyncReply, error) {
	e.simulateDelivery(ctx)
	return &rpc.SyncReply{Boot: e.self.Boot}, nil
}

// Refund implements the Limit service with the injected faults.
func (e *entry) Refund(ctx context.Context, request *rpc.RefundRequest) (*rpc.RefundReply, error) {
	lost := e.simulateDelivery(ctx)

	reply, err := e.holder.Refund(ctx, request)
	if lost {
		return nil, errors.New("reply lost")
	}

	return reply, err
}

// faultyTable is an in-memory table with injected outages and lost replies.
type faultyTable struct {
	table.Memory

	mu       sync.Mutex
	down     bool
	lossRate float64
	random   *rand.Rand
}

// setFaults sets whether the table is unavailable, and the probability that a reply is lost.
func (f *faultyTable) setFaults(down bool, lossRate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.down = down
	f.lossRate = lossRate
}

// fails reports whether the table is unavailable and whether the next reply is lost.
func (f *faultyTable) fails() (down, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.down, f.random.Float64() < f.lossRate
}

func (f *faultyTable) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if down, lost := f.fails(); down || lost {
		return nil, fault.New(fault.TableUnavailable, "down")
	}

	return f.Memory.List(ctx, prefix, after, limit)
}

func (f *faultyTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	down, lost := f.fails()
	if down {
		return 0, fault.New(fault.TableUnavailable, "down")
	}

	revision, err := f.Memory.Commit(ctx, txn)
	if lost {
		return 0, fault.New(fault.TableUnavailable, "reply lost")
	}

	return revision, err
}
