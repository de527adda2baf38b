package compose

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"

	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/api"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/ops"
	entry "github.com/chestnutbeam/chestnutbeam/internal/entry/server"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/assign"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/ledger"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// releaseTimeout is how long a draining entry may take to release its token shares.
const releaseTimeout = 3 * time.Second

// ConfigureEntry sets the fields of an entry that are derived from its settings and the platform. The settings and the
// dialer must already be set.
func ConfigureEntry(server *entry.Server, platform Platform) {
	if server.Board == nil {
		server.Board = &board.Board{}
	}

	shared := server.Board
	place := server.Settings.Place
	boot := ident.New("boot")
	pool := conn.New(server.Dial)
	configStore := &store.Store{Table: platform.Table, Objects: platform.Objects}
	follower := &follow.Follower{
		Board:      shared,
		Store:      configStore,
		Self:       follow.Self{Name: place.VM, Address: server.Settings.Peer, Boot: boot, Domain: place.Domain},
		PeerClient: follow.DRPCClient{Pool: pool},
		Period:     follow.EntryPeriod,
	}

	self := board.Holder{VM: place.VM, Address: server.Settings.Peer, Boot: boot, Domain: place.Domain}
	local := &holder.Holder{Board: shared, Boot: boot}
	shares := &assign.Controller{Board: shared, Table: platform.Table, Holder: local, Self: self, FetchBootID: assign.BootIDFetcher(pool)}
	debits := &ledger.Ledger{Board: shared, Pool: pool, Local: local, OnStale: shares.RequestPoll}

	server.Lister = platform.VMs
	server.Table = platform.Table
	server.Keys = keyLookup{&keys.Lookup{Board: shared}}
	server.Limits = limits{debits}
	server.NeedsShares = true
	server.Resolver = resolver{}
	server.Services = append(server.Services, peerService(follower), limitService(local))
	server.Controllers = append(server.Controllers, follower, local, shareController{shares})
	server.Routes = append(server.Routes, operatorRoutes(server, configStore, follower))
}

func peerService(follower *follow.Follower) func(*drpcmux.Mux) error {
	return func(mux *drpcmux.Mux) error { return rpc.DRPCRegisterPeer(mux, follower) }
}

func limitService(local *holder.Holder) func(*drpcmux.Mux) error {
	return func(mux *drpcmux.Mux) error { return rpc.DRPCRegisterLimit(mux, local) }
}

func operatorRoutes(server *entry.Server, configStore *store.Store, follower *follow.Follower) func(*echo.Echo) {
	operators := &ops.API{
		Board:     server.Board,
		Store:     configStore,
		Follower:  follower,
		Operators: server.Settings.Operators,
		Name:      server.Settings.Place.VM,
	}

	return operators.Register
}

// shareController is an assign.Controller that releases the token shares of the process when it ends.
type shareController struct {
	*assign.Controller
}

// Run implements entry.Controller.
func (s shareController) Run(ctx context.Context) error {
	err := s.Controller.Run(ctx)

	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()

	if drainErr := s.Drain(releaseCtx); drainErr != nil {
		logrus.WithField("component", "assign").WithError(drainErr).Warn("token shares were not released; they stay reserved until this process is known to have ended")
	}

	return err
}

// keyLookup implements api.Keys.
type keyLookup struct {
	lookup *keys.Lookup
}

// Lookup implements api.Keys.
func (k keyLookup) Lookup(key string) (id, account string, state api.KeyState) {
	found := k.lookup.Find(key)

	return found.ID, found.Account, keyState(found.State)
}

func keyState(state keys.State) api.KeyState {
	switch state {
	case keys.StateValid:
		return api.KeyValid
	case keys.StateRevoked:
		return api.KeyRevoked
	default:
		return api.KeyUnknown
	}
}

// limits implements api.Limits.
type limits struct {
	ledger *ledger.Ledger
}

// Debit implements api.Limits.
func (l limits) Debit(ctx context.Context, account string, amount int64) (api.Charge, error) {
	charge, err := l.ledger.Debit(ctx, account, amount)
	if err != nil {
		return nil, err
	}

	return charge, nil
}

// Refund implements api.Limits.
func (l limits) Refund(charge api.Charge, unused int64) {
	if debited, ok := charge.(*ledger.Charge); ok {
		l.ledger.Refund(debited, unused)
	}
}

// resolver implements api.Resolver.
type resolver struct{}

// Resolve implements api.Resolver.
func (resolver) Resolve(doc *document.Document, target api.Target) document.Default {
	return doc.Resolve(document.Query{Route: target.Route, Account: target.Account, Adapter: target.Adapter})
}
