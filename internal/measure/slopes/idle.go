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
	// settleTime is how long the processes run before the measurement, so that share assignments are written.
	settleTime = 6 * time.Second
	// idleTime is the length of the measurement.
	idleTime = 6 * time.Second
	// idleAccounts is the number of client accounts of an idle fleet.
	idleAccounts = 50
)

// idle measures an entry and an agent without requests, at three sizes of the fleet: what they spend on polls, on calls to
// peers and on their own upkeep. The processor time includes the stand-ins and the peers.
func idle(r *report) {
	for n := range entrySizes {
		idleAt(r, entrySizes[n], serverSizes[n], adapterSizes[n])
	}
}

// site is the platform of an idle fleet, with one set of counted clients for each process.
type site struct {
	tables  tablestandin.Server
	objects objectstandin.Server
	vms     vmsstandin.Server
}

// clients returns a platform whose bytes are counted together.
func (s *site) clients(counted *counter) (compose.Platform, func()) {
	tables, objects, list := serve(s.tables.Handler()), serve(s.objects.Handler()), serve(s.vms.Handler())
	client := counted.client()

	return compose.Platform{
			Table:   &table.Client{URL: tables.server.URL, HTTP: client},
			Objects: &object.Client{URL: objects.server.URL, HTTP: client},
			VMs:     &vms.Client{URL: list.server.URL, HTTP: client},
		}, func() {
			client.CloseIdleConnections()
			tables.close()
			objects.close()
			list.close()
		}
}

func idleAt(r *report, entries, servers, adapters int) {
	fleet := &site{}
	fillDocument(&fleet.tables.Memory, sample(scale{adapters: adapters, accounts: idleAccounts, keys: 500}))

	for _, vm := range list(entries, servers).VMs {
		fleet.vms.Put(vm)
	}

	ctx, stop := context.WithCancel(context.Background())
	before := heap()
	byEntry, byAgent := &counter{}, &counter{}

	var ended sync.WaitGroup

	closeEntry := idleEntry(ctx, &ended, fleet, byEntry)
	closeAgent := idleAgent(ctx, &ended, fleet, byAgent)

	time.Sleep(settleTime)

	started, used := time.Now(), processorTime()
	entryBytes, agentBytes := byEntry.bytes.Load(), byAgent.bytes.Load()

	time.Sleep(idleTime)

	spent := processorTime() - used
	seconds := time.Since(started).Seconds()

	r.add("control.idle.cpu/vms", entries+servers, 100*spent.Seconds()/seconds, PercentOfCore)
	r.add("control.idle.entry/vms", entries+servers, float64(byEntry.bytes.Load()-entryBytes)/seconds, BytesPerSec)
	r.add("control.idle.agent/vms", entries+servers, float64(byAgent.bytes.Load()-agentBytes)/seconds, BytesPerSec)
	r.add("control.idle.memory/vms", entries+servers, heap()-before, Bytes)

	stop()
	ended.Wait()
	closeEntry()
	closeAgent()
}

// idleEntry starts an entry. Each other entry of the list is played by one peer for its failure domain.
func idleEntry(ctx context.Context, ended *sync.WaitGroup, fleet *site, counted *counter) func() {
	platform, end := fleet.clients(counted)
	played := playPeers(ctx)
	own, caller := listen(), listen()
	vm := entryVM(0)

	server := &entry.Server{
		Settings: settings.Entry{Place: settings.Place{VM: vm.Name, Domain: vm.Domain, Region: vm.Region}, Peer: vm.Address},
		HTTP:     caller,
		Peer:     own,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if address == vm.Address {
				return counted.dial(ctx, own.Addr().String())
			}

			return counted.dial(ctx, played[address])
		},
	}

	compose.ConfigureEntry(server, platform)
	ended.Go(func() { must(server.Run(ctx)) })
	ended.Go(func() { callAsPeer(ctx, server.Board, own.Addr().String(), counted) })

	return end
}

// idleAgent starts an agent beside an engine that has nothing to do.
func idleAgent(ctx context.Context, ended *sync.WaitGroup, fleet *site, counted *counter) func() {
	platform, end := fleet.clients(counted)
	vm := agentVM(0)

	server := &agent.Server{
		Settings: settings.Agent{Place: settings.Place{VM: vm.Name, Domain: vm.Domain, Region: vm.Region}, Server: vm.Server},
		Engine:   &instant{},
		Listener: listen(),
	}

	compose.ConfigureAgent(server, platform, counted.dial)
	ended.Go(func() { must(server.Run(ctx)) })

	return end
}

// player answers Peer.Sync as the entries of one failure domain that know what the caller knows.
type player struct {
	rpc.DRPCPeerUnimplementedServer

	domain string
}

// Sync implements rpc.DRPCPeerServer.
func (p *player) Sync(_ context.Context, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
	return &rpc.SyncReply{
		RequestId: request.RequestId, Entry: "vm-entry-000", Boot: "boot-0000000000-" + p.domain, Domain: p.domain,
		ConfigVersion: request.ConfigVersion, TableAgeMs: 700,
	}, nil
}

// playPeers returns the address of a player for the address of each entry.
func playPeers(ctx context.Context) map[string]string {
	byDomain := map[string]string{}
	played := map[string]string{}

	for n := range fullEntries {
		vm := entryVM(n)

		if byDomain[vm.Domain] == "" {
			listener := listen()
			byDomain[vm.Domain] = listener.Addr().String()

			go func() {
				_ = conn.Serve(ctx, listener, func(mux *drpcmux.Mux) error {
					return rpc.DRPCRegisterPeer(mux, &player{domain: vm.Domain})
				})
			}()
		}

		played[vm.Address] = byDomain[vm.Domain]
	}

	return played
}

// callAsPeer calls an entry as often as the other entries together do: each calls one entry in a period.
func callAsPeer(ctx context.Context, shared *board.Board, address string, counted *counter) {
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
