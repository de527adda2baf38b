package slopes

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"

	agent "github.com/chestnutbeam/chestnutbeam/internal/agent/server"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	entry "github.com/chestnutbeam/chestnutbeam/internal/entry/server"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/object"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/program/compose"
	objectstandin "github.com/chestnutbeam/chestnutbeam/internal/standin/object"
	tablestandin "github.com/chestnutbeam/chestnutbeam/internal/standin/table"
	vmsstandin "github.com/chestnutbeam/chestnutbeam/internal/standin/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// warmupTime is how long the processes run before the measurement, so that the share assignments are written.
	warmupTime = 6 * time.Second
	// idleTime is the length of the measurement.
	idleTime = 6 * time.Second
	// idleAccounts is the number of client accounts of an idle fleet.
	idleAccounts = 50
)

// idle measures an entry and an agent without requests at three sizes of the fleet: the cost of polls, of calls to peers and of
// background work. The CPU time includes that of the stand-ins and the peers.
func idle(r *report) {
	for n := range entrySizes {
		measureIdle(r, entrySizes[n], serverSizes[n], adapterSizes[n])
	}
}

// platformStandins are the stand-ins of the platform of an idle fleet.
type platformStandins struct {
	tables  tablestandin.Server
	objects objectstandin.Server
	vms     vmsstandin.Server
}

// clients returns clients of the platform whose bytes are counted together, and a function that closes them.
func (s *platformStandins) clients(counted *byteCounter) (compose.Platform, func()) {
	tables, objects, vmEndpoint := startEndpoint(s.tables.Handler()), startEndpoint(s.objects.Handler()), startEndpoint(s.vms.Handler())
	client := counted.client()

	return compose.Platform{
			Table:   &table.Client{URL: tables.server.URL, HTTP: client},
			Objects: &object.Client{URL: objects.server.URL, HTTP: client},
			VMs:     &vms.Client{URL: vmEndpoint.server.URL, HTTP: client},
		}, func() {
			client.CloseIdleConnections()
			tables.close()
			objects.close()
			vmEndpoint.close()
		}
}

func measureIdle(r *report, entries, servers, adapters int) {
	standins := &platformStandins{}
	commitDocument(&standins.tables.Memory, sampleDocument(documentSize{adapters: adapters, accounts: idleAccounts, keys: 500}))

	for _, vm := range vmList(entries, servers).VMs {
		standins.vms.Put(vm)
	}

	ctx, stop := context.WithCancel(context.Background())
	before := heapBytes()
	entryCounter, agentCounter := &byteCounter{}, &byteCounter{}

	var running sync.WaitGroup

	closeEntry := idleEntry(ctx, &running, standins, entryCounter)
	closeAgent := idleAgent(ctx, &running, standins, agentCounter)

	time.Sleep(warmupTime)

	started, cpuBefore := time.Now(), processCPUTime()
	entryBytes, agentBytes := entryCounter.bytes.Load(), agentCounter.bytes.Load()

	time.Sleep(idleTime)

	cpuUsed := processCPUTime() - cpuBefore
	seconds := time.Since(started).Seconds()

	r.add("control.idle.cpu/vms", entries+servers, 100*cpuUsed.Seconds()/seconds, PercentOfCore)
	r.add("control.idle.entry/vms", entries+servers, float64(entryCounter.bytes.Load()-entryBytes)/seconds, BytesPerSec)
	r.add("control.idle.agent/vms", entries+servers, float64(agentCounter.bytes.Load()-agentBytes)/seconds, BytesPerSec)
	r.add("control.idle.memory/vms", entries+servers, heapBytes()-before, Bytes)

	stop()
	running.Wait()
	closeEntry()
	closeAgent()
}

// idleEntry starts an entry. One stand-in for each failure domain serves as all other entries of the VM list in that domain.
func idleEntry(ctx context.Context, running *sync.WaitGroup, standins *platformStandins, counted *byteCounter) func() {
	platform, closeClients := standins.clients(counted)
	peerAddresses := startPeerStandins(ctx)
	peerListener, httpListener := listen(), listen()
	vm := entryVM(0)

	server := &entry.Server{
		Settings: settings.Entry{Place: settings.Place{VM: vm.Name, Domain: vm.Domain, Region: vm.Region}, Peer: vm.Address},
		HTTP:     httpListener,
		Peer:     peerListener,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if address == vm.Address {
				return counted.dial(ctx, peerListener.Addr().String())
			}

			return counted.dial(ctx, peerAddresses[address])
		},
	}

	compose.ConfigureEntry(server, platform)
	running.Go(func() { must(server.Run(ctx)) })
	running.Go(func() { callAsPeer(ctx, server.Board, peerListener.Addr().String(), counted) })

	return closeClients
}

// idleAgent starts an agent with an idle engine.
func idleAgent(ctx context.Context, running *sync.WaitGroup, standins *platformStandins, counted *byteCounter) func() {
	platform, closeClients := standins.clients(counted)
	vm := agentVM(0)

	server := &agent.Server{
		Settings: settings.Agent{Place: settings.Place{VM: vm.Name, Domain: vm.Domain, Region: vm.Region}, Server: vm.Server},
		Engine:   &instantEngine{},
		Listener: listen(),
	}

	compose.ConfigureAgent(server, platform, counted.dial)
	running.Go(func() { must(server.Run(ctx)) })

	return closeClients
}

// peerStandin serves Peer.Sync for the entries of one failure domain. Its configuration version is that of the request.
type peerStandin struct {
	rpc.DRPCPeerUnimplementedServer

	domain string
}

// Sync implements rpc.DRPCPeerServer.
func (p *peerStandin) Sync(_ context.Context, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
	return &rpc.SyncReply{
		RequestId: request.RequestId, Entry: "vm-entry-000", Boot: "boot-0000000000-" + p.domain, Domain: p.domain,
		ConfigVersion: request.ConfigVersion, TableAgeMs: 700,
	}, nil
}

// startPeerStandins starts a stand-in for each failure domain and returns its address for the address of each entry.
func startPeerStandins(ctx context.Context) map[string]string {
	byDomain := map[string]string{}
	addresses := map[string]string{}

	for n := range designEntries {
		vm := entryVM(n)

		if byDomain[vm.Domain] == "" {
			listener := listen()
			byDomain[vm.Domain] = listener.Addr().String()

			go func() {
				_ = conn.Serve(ctx, listener, func(mux *drpcmux.Mux) error {
					return rpc.DRPCRegisterPeer(mux, &peerStandin{domain: vm.Domain})
				})
			}()
		}

		addresses[vm.Address] = byDomain[vm.Domain]
	}

	return addresses
}

// callAsPeer calls an entry as often as all other entries together do: each of them calls one entry per period.
func callAsPeer(ctx context.Context, shared *board.Board, address string, counted *byteCounter) {
	pool := conn.New(counted.dial)
	client := rpc.NewDRPCPeerClient(pool.Get(address))

	for next := 1; ctx.Err() == nil; next++ {
		if d := shared.Document.Value(); d != nil {
			vm := entryVM(1 + next%2)
			_, _ = client.Sync(ctx, &rpc.SyncRequest{
				RequestId: fmt.Sprintf("sync-%016d", next), Entry: vm.Name, Boot: "boot-0000000000-" + vm.Domain, Domain: vm.Domain,
				ConfigVersion: d.Version, TableAgeMs: 700, WantAfter: d.Version,
			})
		}

		select {
		case <-ctx.Done():
		case <-time.After(follow.EntryPeriod):
		}
	}

	_ = pool.Close()
}
