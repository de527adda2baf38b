package compose

import (
	"context"
	"sync"

	agent "github.com/chestnutbeam/chestnutbeam/internal/agent/server"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/assign"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/ledger"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
)

// Agent sets the fields of an agent that its settings and the platform determine. The settings, the listener and the
// backend server must be set; a nil dialer dials TCP.
func Agent(server *agent.Server, platform Platform, dial conn.Dialer) {
	if server.Board == nil {
		server.Board = &board.Board{}
	}

	shared := server.Board
	pool := conn.New(dial)
	records := &store.Store{Table: platform.Table, Objects: platform.Objects}
	follower := &follow.Follower{Board: shared, Store: records, Period: follow.AgentPeriod}
	shares := &assign.Assign{Board: shared, Table: platform.Table, Accounts: []string{loadAccount}}
	debits := &ledger.Ledger{Board: shared, Pool: pool, Stale: shares.Poke}

	server.Table = platform.Table
	server.Source = follower
	server.Budget = &ledger.Budget{Ledger: debits}
	server.Background = background(follower, shares)
}

type controller interface {
	Run(ctx context.Context) error
}

// background runs controllers that end only with the context.
func background(controllers ...controller) func(ctx context.Context) {
	return func(ctx context.Context) {
		var group sync.WaitGroup

		for _, each := range controllers {
			group.Go(func() { _ = each.Run(ctx) })
		}

		group.Wait()
	}
}
