package follow_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Guards against a service that works between structs and not over drpc.
func TestSyncOverDRPC(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	w := newWorld(ctx, noDelay, "a")
	p := w.process(0)
	assert.NilError(t, p.follower.CatchUpHead(ctx))
	assert.Equal(t, p.addAccount(), http.StatusOK)
	assert.Equal(t, p.grant("key-a"), http.StatusOK)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	served := make(chan error, 1)

	go func() {
		served <- conn.Serve(ctx, listener, func(mux *drpcmux.Mux) error { return rpc.DRPCRegisterPeer(mux, p.follower) })
	}()

	pool := conn.New(nil)
	learning := &follow.Follower{
		Board: &board.Board{}, Store: &store.Store{Table: view{&world{down: true}, "y"}}, Peers: follow.DRPC{Pool: pool},
		Self: follow.Self{Name: "y", Address: "127.0.0.1:1", Domain: "b"},
	}
	list := vms.List{VMs: []vms.VM{{Name: "entry-0", Address: listener.Addr().String(), Domain: "a", Role: vms.RoleEntry}}}
	learning.Board.VMs.Set(list)
	learning.SyncAll(ctx)

	assert.Equal(t, learning.Board.Document.Value().Version, int64(2))
	assert.Equal(t, learning.Board.Peers.Value()[list.VMs[0].Address].Boot, "boot-1")
	assert.Equal(t, keys.NewIndex(learning.Board.Document.Value()).Find("key-a", nil).State, keys.StateValid)
	assert.NilError(t, pool.Close())
	cancel()
	assert.NilError(t, <-served)
}
