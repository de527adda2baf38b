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
	// syncParallel bounds the calls to peers at once.
	syncParallel = 16
	// peerMemory is how long a peer that is no longer listed stays on the board.
	peerMemory = time.Minute
)

// DRPCClient is the SyncClient over drpc connections.
type DRPCClient struct {
	Pool *conn.Pool
}

// Sync implements SyncClient.
func (d DRPCClient) Sync(ctx context.Context, address string, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
	return rpc.NewDRPCPeerClient(d.Pool.Get(address)).Sync(ctx, request)
}

// SyncAll calls every listed entry, so that a revocation spreads at once and a report is complete.
func (f *Follower) SyncAll(ctx context.Context) {
	f.init()

	if f.PeerClient == nil {
		return
	}

	f.syncWith(ctx, f.listed().others)
}

// syncDomains calls one entry in each failure domain that has entries. Another one is chosen each time, so that an entry
// that does not answer costs one period.
func (f *Follower) syncDomains(ctx context.Context) {
	byDomain := f.listed().byDomain
	chosen := make([]vms.VM, 0, len(byDomain))

	for _, peers := range byDomain {
		chosen = append(chosen, peers[rand.IntN(len(peers))])
	}

	f.syncWith(ctx, chosen)
}

// syncNext calls one entry, of the next failure domain in turn.
func (f *Follower) syncNext(ctx context.Context) {
	listed := f.listed()
	if len(listed.others) == 0 {
		return
	}

	domain := listed.peerDomains[f.rounds%len(listed.peerDomains)]
	peers := listed.byDomain[domain]

	f.syncWith(ctx, []vms.VM{peers[rand.IntN(len(peers))]})
}

func (f *Follower) syncWith(ctx context.Context, peers []vms.VM) {
	slots := make(chan struct{}, syncParallel)

	var calls sync.WaitGroup

	for _, peer := range peers {
		slots <- struct{}{}

		calls.Go(func() {
			defer func() { <-slots }()

			f.syncOne(ctx, peer)
		})
	}

	calls.Wait()
}

func (f *Follower) syncOne(ctx context.Context, peer vms.VM) {
	request := f.request()

	ctx, cancel := context.WithTimeout(ctx, syncTimeout(request))
	defer cancel()

	started := time.Now()

	reply, err := f.PeerClient.Sync(ctx, peer.Address, request)
	if err != nil {
		logger.WithFields(logrus.Fields{"peer": peer.Address}).WithError(err).Debug("peer does not answer")
		return
	}

	f.AddPendingRevocations(reply.GetRevocations())

	if err := f.learn(reply); err != nil {
		logger.WithFields(logrus.Fields{"peer": peer.Address}).WithError(err).Warn("configuration of a peer was not applied")
	}

	f.notePeer(peer.Address, board.Peer{
		Name: reply.GetEntry(), Boot: reply.GetBoot(), Domain: reply.GetDomain(),
		Version: reply.GetConfigVersion(), LastContact: time.Now(),
	})
	f.confirmFrom(peer, reply, started)
	f.publishFresh()
}

// syncTimeout leaves a process without a document the time to receive a whole one; it serves nothing before.
func syncTimeout(request *rpc.SyncRequest) time.Duration {
	if request.GetConfigVersion() < 0 {
		return wholeTimeout
	}

	return callTimeout
}

// confirmFrom counts an answer as a confirmation when the peer knows no newer version. Its own confirmation by the table
// counts as well, at its age before the call started.
func (f *Follower) confirmFrom(peer vms.VM, reply *rpc.SyncReply, started time.Time) {
	version := reply.GetConfigVersion()
	if version < 0 || version > f.version() {
		return
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.fresh.ConfirmPeer(peer.Domain, started)

	if age := reply.GetTableAgeMs(); age >= 0 {
		f.fresh.ConfirmTable(started.Add(-time.Duration(age) * time.Millisecond))
	}
}

// learn applies the log entries or the document that a peer sent.
func (f *Follower) learn(reply *rpc.SyncReply) error {
	if reply.GetConfigVersion() <= f.version() {
		return nil
	}

	if len(reply.GetSnapshot()) > 0 {
		next, err := unpack(reply.GetSnapshot(), reply.GetConfigVersion())
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

// decodeLog returns the changes after a version; earlier ones may have been learned from elsewhere meanwhile.
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

// tableAge is the age in milliseconds of the last confirmation by the table, rounded up, or -1 if there was none.
func (f *Follower) tableAge() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.fresh.table.IsZero() {
		return -1
	}

	return time.Since(f.fresh.table).Milliseconds() + 1
}

func (f *Follower) notePeer(address string, peer board.Peer) {
	listed := f.listed().addresses

	f.Board.Peers.Update(func(old map[string]board.Peer) map[string]board.Peer {
		peers := maps.Clone(old)
		if peers == nil {
			peers = map[string]board.Peer{}
		}

		peers[address] = peer

		maps.DeleteFunc(peers, func(other string, known board.Peer) bool {
			return !listed[other] && time.Since(known.LastContact) > peerMemory
		})

		return peers
	})
}
