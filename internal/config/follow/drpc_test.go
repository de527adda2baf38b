package follow_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Guards against a Sync service that works in process but not over drpc, and against a whole document that is too large for
// one message.
func TestSyncOverDRPC(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	c := newCluster(ctx, noDelay, "a")
	p := c.process(0)
	assert.NilError(t, p.follower.CatchUpHead(ctx))
	assert.Equal(t, p.addAccount(), http.StatusOK)
	assert.Equal(t, p.grant("key-a"), http.StatusOK)

	// The document is read from the table, so there is no log in memory, and is then as large as that of a large fleet.
	p = c.start(c.list.VMs[0])
	assert.NilError(t, p.follower.CatchUpHead(ctx))

	large := *p.board.Document.Value()
	large.Adapters = map[string]document.Adapter{}

	for i := range 40000 {
		name := fmt.Sprintf("wording-of-a-bookplate-series-%d", i)
		large.Adapters[name] = document.Adapter{Model: "base", Versions: []string{"v1", "v2"}, Pin: "v2", Accounts: []string{"pistas"}}
	}

	p.board.Document.Set(&large)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	served := make(chan error, 1)

	go func() {
		served <- conn.Serve(ctx, listener, func(mux *drpcmux.Mux) error { return rpc.DRPCRegisterPeer(mux, p.follower) })
	}()

	pool := conn.New(nil)
	receiver := &follow.Follower{
		Board: &board.Board{}, Store: &store.Store{Table: tableView{&cluster{tableDown: true}, "y"}}, PeerClient: follow.DRPCClient{Pool: pool},
		Self: follow.Self{Name: "y", Address: "127.0.0.1:1", Domain: "b"},
	}
	list := vms.List{VMs: []vms.VM{{Name: "entry-0", Address: listener.Addr().String(), Domain: "a", Role: vms.RoleEntry}}}
	receiver.Board.VMs.Set(list)
	receiver.SyncAll(ctx)

	assert.Equal(t, receiver.Board.Document.Value().Version, int64(2))
	assert.Equal(t, receiver.Board.Peers.Value()[list.VMs[0].Address].Boot, "boot-2")
	assert.Equal(t, len(receiver.Board.Document.Value().Adapters), 40000)
	assert.Equal(t, keys.NewIndex(receiver.Board.Document.Value()).Find("key-a", nil).State, keys.StateValid)
	assert.NilError(t, pool.Close())
	cancel()
	assert.NilError(t, <-served)
}
