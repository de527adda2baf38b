package slopes

import (
	"context"
	"fmt"
	"net"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// residentSizes are numbers of adapters that are resident in an engine.
var residentSizes = []int{8, 32, 128}

// drpcServer is a drpc server on loopback with a connection pool whose bytes are counted.
type drpcServer struct {
	address string
	counter *byteCounter
	pool    *conn.Pool
	stop    context.CancelFunc
}

func startDRPCServer(register func(mux *drpcmux.Mux) error) *drpcServer {
	listener := listen()
	ctx, stop := context.WithCancel(context.Background())
	counted := &byteCounter{}

	go func() { _ = conn.Serve(ctx, listener, register) }()

	return &drpcServer{address: listener.Addr().String(), counter: counted, pool: conn.New(counted.dial), stop: stop}
}

func listen() net.Listener {
	var config net.ListenConfig

	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	must(err)

	return listener
}

func (s *drpcServer) close() {
	_ = s.pool.Close()
	s.stop()
}

// measureCall measures the bytes and the CPU time of one call. The time is that of both sides.
func (s *drpcServer) measureCall(r *report, name string, size int, call func()) {
	r.add("bytes."+name, size, s.counter.bytesPerCall(call), Bytes)
	r.add("cpu."+name, size, micros(cpuTime(call)), Microseconds)
}

// messages measures the messages between processes.
func messages(r *report) {
	for _, size := range entrySizes {
		syncMessages(r, size)
	}

	limitMessages(r)
	responseMessages(r)
}

// newFollower returns the follower of an entry that has read one document and is up to date.
func newFollower(entries int) *follow.Follower {
	memory := &table.Memory{}
	fillLog(memory, 1)

	shared := &board.Board{}
	shared.VMs.Set(vmList(entries, designServers))

	vm := entryVM(0)
	created := &follow.Follower{
		Board: shared, Store: &store.Store{Table: memory},
		Self: follow.Self{Name: vm.Name, Address: vm.Address, Boot: fmt.Sprintf("boot-%016d", 0), Domain: vm.Domain},
	}

	must(created.CatchUpHead(context.Background()))

	return created
}

// syncMessages measures Peer.Sync after every other entry has called once. The reply with a change is the one to an entry that
// does not have that change yet.
func syncMessages(r *report, entries int) {
	follower := newFollower(entries)
	service := startDRPCServer(func(mux *drpcmux.Mux) error { return rpc.DRPCRegisterPeer(mux, follower) })

	defer service.close()

	client := rpc.NewDRPCPeerClient(service.pool.Get(service.address))
	next := 0
	request := func(after int64) *rpc.SyncRequest {
		vm := entryVM(1 + next%max(entries-1, 1))
		next++

		return &rpc.SyncRequest{
			RequestId: fmt.Sprintf("sync-%016d", next), Entry: vm.Name, Boot: fmt.Sprintf("boot-%016d", 1), Domain: vm.Domain,
			ConfigVersion: after, TableAgeMs: 700, WantAfter: after,
		}
	}

	sync := func(after int64) {
		_, err := client.Sync(context.Background(), request(after))
		must(err)
	}

	for range entries {
		sync(1)
	}

	service.measureCall(r, "sync/entries", entries, func() { sync(1) })

	changed := pinChange(2)
	nextDocument, err := follower.Board.Document.Value().Replay([]document.Change{changed})
	must(err)
	follower.ApplyCommitted(nextDocument, changed)
	r.add("bytes.sync.one-change/entries", entries, service.counter.bytesPerCall(func() { sync(1) }), Bytes)
}

func limitMessages(r *report) {
	for _, size := range accountSizes {
		local := &holder.Holder{Board: singleHolderBoard(size), Boot: holderBootID()}
		service := startDRPCServer(func(mux *drpcmux.Mux) error { return rpc.DRPCRegisterLimit(mux, local) })
		client := rpc.NewDRPCLimitClient(service.pool.Get(service.address))
		next := 0

		service.measureCall(r, "debit.message/accounts", size, func() {
			next++
			_, err := client.Debit(context.Background(), &rpc.DebitRequest{
				RequestId: fmt.Sprintf("debit-%016d/%06d", 1, next), Account: account(next % size), Amount: 900, Epoch: 1,
			})
			must(err)
		})

		service.measureCall(r, "refund.message/accounts", size, func() {
			_, err := client.Refund(context.Background(), &rpc.RefundRequest{
				RequestId: fmt.Sprintf("debit-%016d/%06d", 1, next), Account: account(next % size), Amount: 100, Epoch: 1,
			})
			must(err)
		})

		service.close()
	}
}

// responseMessages measures the encoded size of the control part of an agent's responses.
func responseMessages(r *report) {
	ticket := &rpc.Ticket{Id: fmt.Sprintf("ticket-%016d", 1), RemainingMs: 2900}

	for _, size := range residentSizes {
		load := &rpc.Load{Running: 12, Queued: 3, Limit: 64, ConfigVersion: baseVersion, ResidentEpoch: 912}
		r.add("bytes.answer.load-ticket/residents", size, float64(proto.Size(&rpc.RunDown{Load: load, Ticket: ticket})), Bytes)

		load.Resident = residentList(0, size)
		load.ResidentSent = true
		r.add("bytes.answer.load-ticket-list/residents", size, float64(proto.Size(&rpc.RunDown{Load: load, Ticket: ticket})), Bytes)
	}
}
