package assign

import (
	"context"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Pool supplies connections by address; conn.Pool implements it.
type Pool interface {
	Get(address string) drpc.Conn
}

// unset is the value of TableAgeMs and WantAfter in a SyncRequest that has no confirmation by the table and requests no log
// entries.
const unset = -1

// BootIDFetcher returns a function for Controller.FetchBootID that calls Peer.Sync over the pool. The request names no entry,
// so that the peer does not treat it as a report of a configuration version.
func BootIDFetcher(pool Pool) func(ctx context.Context, address string) (string, error) {
	return func(ctx context.Context, address string) (string, error) {
		reply, err := rpc.NewDRPCPeerClient(pool.Get(address)).Sync(ctx, &rpc.SyncRequest{
			RequestId:  ident.New("req"),
			TableAgeMs: unset,
			WantAfter:  unset,
		})
		if err != nil {
			return "", errors.Wrapf(err, "query boot id of %s", address)
		}

		return reply.Boot, nil
	}
}
