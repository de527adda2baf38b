package follow

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// maxParallelSyncs bounds the concurrent calls to peers.
	maxParallelSyncs = 16
	// peerRetention is how long a peer that is no longer listed stays on the board.
	peerRetention = time.Minute
)

// DRPCClient implements SyncClient over drpc connections.
type DRPCClient struct {
	// Pool holds the connections.
	Pool *conn.Pool
}

// Sync implements SyncClient.
func (d DRPCClient) Sync(ctx context.Context, address string, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
	return rpc.NewDRPCPeerClient(d.Pool.Get(address)).Sync(ctx, request)
}

// SyncAll calls every listed entry, so that a revocation reaches all of them at once and a status report is complete.
func (f *Follower) SyncAll(ctx context.Context) {
	f.init()

	if f.PeerClient == nil {
		return
	}

	f.syncWith(ctx, f.entryIndex().others)
}

// syncDomains calls one entry in each failure domain that has entries. It chooses a random one each time, so that an entry
// that does not answer delays the confirmation by one period.
func (f *Follower) syncDomains(ctx context.Context) {
	byDomain := f.entryIndex().byDomain
	chosen := make([]vms.VM, 0, len(byDomain))

	for _, peers := range byDomain {
		chosen = append(chosen, peers[rand.IntN(len(peers))])
	}

	f.syncWith(ctx, chosen)
}

// syncNext calls one entry in the next failure domain, round-robin.
func (f *Follower) syncNext(ctx context.Context) {
	index := f.entryIndex()
	if len(index.others) == 0 {
		return
	}

	domain := index.peerDomains[f.peerRounds%len(index.peerDomains)]
	peers := index.byDomain[domain]

	f.syncWith(ctx, []vms.VM{peers[rand.IntN(len(peers))]})
}

func (f *Follower) syncWith(ctx context.Context, peers []vms.VM) {
	slots := make(chan struct{}, maxParallelSyncs)

	var calls sync.WaitGroup

	for _, peer := range peers {
		slots <- struct{}{}

		calls.Go(func() {
			defer func() { <-slots }()

			f.syncPeer(ctx, peer)
		})
	}

	calls.Wait()
}

func (f *Follower) syncPeer(ctx context.Context, peer vms.VM) {
	request := f.request()

	ctx, cancel := context.WithTimeout(ctx, syncTimeout(request))
	defer cancel()

	started := time.Now()

	reply, err := f.PeerClient.Sync(ctx, peer.Address, request)
	if err != nil {
		logger.WithFields(logrus.Fields{"peer": peer.Address}).WithError(err).Debug("sync call to the peer failed")
		return
	}

	f.AddPendingRevocations(reply.GetRevocations())

	if err := f.applyReply(reply); err != nil {
		logger.WithFields(logrus.Fields{"peer": peer.Address}).WithError(err).Warn("failed to apply the configuration from a peer")
	}

	f.recordPeer(peer.Address, board.Peer{
		Name: reply.GetEntry(), Boot: reply.GetBoot(), Domain: reply.GetDomain(),
		Version: reply.GetConfigVersion(), LastContact: time.Now(),
	})
	f.confirmByPeer(peer, reply, started)
	f.publishFreshness()
}

// syncTimeout returns a longer timeout for a process without a document, which receives a whole one and serves no requests
// before.
func syncTimeout(request *rpc.SyncRequest) time.Duration {
	if request.GetConfigVersion() < 0 {
		return documentTimeout
	}

	return callTimeout
}

// confirmByPeer records a reply as a confirmation if the peer knows no newer version. The confirmation that the peer has from
// the table counts as well; its age is subtracted from the time at which the call started.
func (f *Follower) confirmByPeer(peer vms.VM, reply *rpc.SyncReply, started time.Time) {
	version := reply.GetConfigVersion()
	if version < 0 || version > f.version() {
		return
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.freshness.ConfirmPeer(peer.Domain, started)

	if age := reply.GetTableAgeMs(); age >= 0 {
		f.freshness.ConfirmTable(started.Add(-time.Duration(age) * time.Millisecond))
	}
}

// applyReply applies the log entries or the document of a reply.
func (f *Follower) applyReply(reply *rpc.SyncReply) error {
	if reply.GetConfigVersion() <= f.version() {
		return nil
	}

	if len(reply.GetSnapshot()) > 0 {
		next, err := decompressDocument(reply.GetSnapshot(), reply.GetConfigVersion())
		if err != nil {
			return err
		}

		f.apply(next, nil)

		return nil
	}

	current := f.Board.Document.Value()
	if current == nil {
		current = document.Empty()

		if reply.GetConfigVersion() == 0 {
			f.apply(current, nil)
			return nil
		}
	}

	changes, err := decodeLog(reply.GetLog(), current.Version)
	if err != nil {
		return err
	}

	return f.replay(current, changes)
}

// decodeLog returns the changes after a version. The log may hold earlier ones that another source has delivered meanwhile.
func decodeLog(log [][]byte, after int64) ([]document.Change, error) {
	changes := make([]document.Change, 0, len(log))

	for _, data := range log {
		var change document.Change
		if err := json.Unmarshal(data, &change); err != nil {
			return nil, errors.Wrap(err, "decode log entry")
		}

		if change.Version > after {
			changes = append(changes, change)
		}
	}

	return changes, nil
}

func (f *Follower) request() *rpc.SyncRequest {
	version := f.version()

	return &rpc.SyncRequest{
		RequestId: ident.New("sync"), Entry: f.Self.Name, Boot: f.Self.Boot, Domain: f.Self.Domain,
		ConfigVersion: version, TableAgeMs: f.tableAge(), Revocations: RevocationMessages(f.Board.PendingRevocations.Value()), WantAfter: max(version, 0),
	}
}

// tableAge returns the age in milliseconds of the last confirmation by the table, rounded up, or -1 if there was none.
func (f *Follower) tableAge() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.freshness.tableConfirmed.IsZero() {
		return -1
	}

	return time.Since(f.freshness.tableConfirmed).Milliseconds() + 1
}

// recordPeer writes a peer to the board, and removes unlisted peers after peerRetention.
func (f *Follower) recordPeer(address string, peer board.Peer) {
	listed := f.entryIndex().addresses

	f.Board.Peers.Update(func(old map[string]board.Peer) map[string]board.Peer {
		peers := maps.Clone(old)
		if peers == nil {
			peers = map[string]board.Peer{}
		}

		peers[address] = peer

		maps.DeleteFunc(peers, func(other string, known board.Peer) bool {
			return !listed[other] && time.Since(known.LastContact) > peerRetention
		})

		return peers
	})
}
