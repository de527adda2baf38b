package follow

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Sync implements rpc.DRPCPeerServer.
func (f *Follower) Sync(_ context.Context, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
	f.init()
	f.AddPendingRevocations(request.GetRevocations())
	f.noteCaller(request)

	if request.GetConfigVersion() > f.version() {
		f.Wake()
	}

	reply := &rpc.SyncReply{
		RequestId: request.GetRequestId(), Entry: f.Self.Name, Boot: f.Self.Boot, Domain: f.Self.Domain,
		TableAgeMs: f.tableAge(), Revocations: RevocationMessages(f.Board.PendingRevocations.Value()),
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
	d, log, ok := f.newer(after)
	if d == nil {
		reply.ConfigVersion = -1
		return nil
	}

	reply.ConfigVersion = d.Version
	reply.Log = log

	if ok || after < 0 || after >= d.Version {
		return nil
	}

	var err error

	reply.Snapshot, err = pack(d)

	return err
}

// newer returns the document and the log entries after a version; false if the history does not reach back.
func (f *Follower) newer(after int64) (*document.Document, [][]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	d := f.Board.Document.Value()
	if d == nil || after < 0 || after >= d.Version {
		return d, nil, false
	}

	log, ok := f.history.after(after)

	return d, log, ok
}

// noteCaller records an entry that called, under the address that the VM list has for it.
func (f *Follower) noteCaller(request *rpc.SyncRequest) {
	for _, vm := range f.listed().others {
		if vm.Name != request.GetEntry() {
			continue
		}

		f.notePeer(vm.Address, board.Peer{
			Name: vm.Name, Boot: request.GetBoot(), Domain: request.GetDomain(),
			Version: request.GetConfigVersion(), LastContact: time.Now(),
		})
	}
}
