package follow

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Sync implements rpc.DRPCPeerServer.
func (f *Follower) Sync(_ context.Context, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
	f.init()
	f.hold(request.GetRevocations())
	f.noteCaller(request)

	if request.GetConfigVersion() > f.version() {
		f.Wake()
	}

	reply := &rpc.SyncReply{
		RequestId: request.GetRequestId(), Entry: f.Self.Name, Boot: f.Self.Boot, Domain: f.Self.Domain,
		TableAgeMs: f.tableAge(), Revocations: f.held(),
	}

	return reply, f.fill(reply, request.GetWantAfter())
}

// Wake makes Run poll now.
func (f *Follower) Wake() {
	f.init()

	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// fill adds the version and what the caller lacks of it.
func (f *Follower) fill(reply *rpc.SyncReply, after int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	d := f.Board.Document.Value()
	if d == nil {
		reply.ConfigVersion = -1
		return nil
	}

	reply.ConfigVersion = d.Version

	if after < 0 || after >= d.Version {
		return nil
	}

	log, ok := f.history.after(after)
	if ok {
		reply.Log = log
		return nil
	}

	snapshot, err := json.Marshal(d)
	reply.Snapshot = snapshot

	return errors.Wrap(err, "encode document")
}

// noteCaller records an entry that called, under the address that the VM list has for it.
func (f *Follower) noteCaller(request *rpc.SyncRequest) {
	for _, vm := range f.others() {
		if vm.Name != request.GetEntry() {
			continue
		}

		f.notePeer(vm.Address, board.Peer{
			Name: vm.Name, Boot: request.GetBoot(), Domain: request.GetDomain(),
			Version: request.GetConfigVersion(), Contact: time.Now(),
		})
	}
}
