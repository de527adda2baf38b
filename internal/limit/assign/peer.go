package assign

import (
	"context"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Pool supplies connections by address; conn.Pool implements it.
type Pool interface {
	Get(address string) drpc.Conn
}

// unknown stands for no confirmation by the table and for no wanted log entries in a SyncRequest.
const unknown = -1

// AskBoot returns a function for Assign.Boot that calls Peer.Sync over the pool, in the name of the process.
func AskBoot(pool Pool, self board.Holder) func(ctx context.Context, address string) (string, error) {
	return func(ctx context.Context, address string) (string, error) {
		reply, err := rpc.NewDRPCPeerClient(pool.Get(address)).Sync(ctx, &rpc.SyncRequest{
			RequestId:  ident.New("req"),
			Entry:      self.Address,
			Boot:       self.Boot,
			Domain:     self.Domain,
			TableAgeMs: unknown,
			WantAfter:  unknown,
		})
		if err != nil {
			return "", errors.Wrapf(err, "ask %s for its boot id", address)
		}

		return reply.Boot, nil
	}
}
