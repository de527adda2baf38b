package compose

import (
	"context"
	"slices"
	"sync"

	agent "github.com/chestnutbeam/chestnutbeam/internal/agent/server"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/assign"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/ledger"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
)

// ConfigureAgent sets the fields of an agent that are derived from its settings and the platform. The settings, the listener
// and the client of the backend server must already be set; a nil dialer dials TCP.
func ConfigureAgent(server *agent.Server, platform Platform, dial conn.Dialer) {
	if server.Board == nil {
		server.Board = &board.Board{}
	}

	shared := server.Board
	pool := conn.New(dial)
	configStore := &store.Store{Table: platform.Table, Objects: platform.Objects}
	follower := &follow.Follower{
		Board:       shared,
		Store:       configStore,
		EntryClient: follow.DRPCClient{Pool: pool},
		ListEntries: func(ctx context.Context) []vms.VM { return entries(ctx, shared, platform.VMs) },
		Period:      follow.AgentPeriod,
	}
	shares := &assign.Controller{Board: shared, Table: platform.Table, Accounts: []string{loadAccount}}
	debits := &ledger.Ledger{Board: shared, Pool: pool, OnStale: shares.RequestPoll}

	server.Table = platform.Table
	server.Source = follower
	server.LoadBudget = &ledger.LoadBudget{Ledger: debits}
	server.Background = background(follower, shares)
}

type controller interface {
	Run(ctx context.Context) error
}

// background returns a function that runs the controllers until the context is done.
func background(controllers ...controller) func(ctx context.Context) {
	return func(ctx context.Context) {
		var group sync.WaitGroup

		for _, each := range controllers {
			group.Go(func() { _ = each.Run(ctx) })
		}

		group.Wait()
	}
}

// entries returns the entries that an agent can request the configuration from. These are the holders of the load budget,
// which the agent knows without polling the VM list; if it knows no holders yet, they are the entries in the VM list.
func entries(ctx context.Context, shared *board.Board, lister vms.Lister) []vms.VM {
	holders := shared.Shares.Value()[loadAccount].Holders
	found := make([]vms.VM, 0, len(holders))

	for _, holder := range holders {
		found = append(found, vms.VM{Name: holder.VM, Address: holder.Address, Domain: holder.Domain, Role: vms.RoleEntry})
	}

	if len(found) > 0 {
		return found
	}

	list, err := lister.List(ctx)
	if err != nil {
		return nil
	}

	return slices.DeleteFunc(slices.Clone(list.VMs), func(vm vms.VM) bool { return vm.Role != vms.RoleEntry })
}
