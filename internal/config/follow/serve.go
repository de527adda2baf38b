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
	f.recordCaller(request)

	if request.GetConfigVersion() > f.version() {
		f.Wake()
	}

	reply := &rpc.SyncReply{
		RequestId: request.GetRequestId(), Entry: f.Self.Name, Boot: f.Self.Boot, Domain: f.Self.Domain,
		TableAgeMs: f.tableAge(), Revocations: RevocationMessages(f.Board.PendingRevocations.Value()),
	}

	return reply, f.addDocument(reply, request.GetWantAfter())
}

// Wake makes Run poll the table at once.
func (f *Follower) Wake() {
	f.init()

	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// addDocument adds the version to the reply, and the log entries or the document that the caller lacks.
func (f *Follower) addDocument(reply *rpc.SyncReply, after int64) error {
	d, log, ok := f.documentAndLog(after)
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

	reply.Snapshot, err = compressDocument(d)

	return err
}

// documentAndLog returns the document and the log entries after a version; false if the history does not reach back to it.
func (f *Follower) documentAndLog(after int64) (*document.Document, [][]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	d := f.Board.Document.Value()
	if d == nil || after < 0 || after >= d.Version {
		return d, nil, false
	}

	log, ok := f.history.after(after)

	return d, log, ok
}

// recordCaller records the entry that called, under its address in the VM list.
func (f *Follower) recordCaller(request *rpc.SyncRequest) {
	for _, vm := range f.entryIndex().others {
		if vm.Name != request.GetEntry() {
			continue
		}

		f.recordPeer(vm.Address, board.Peer{
			Name: vm.Name, Boot: request.GetBoot(), Domain: request.GetDomain(),
			Version: request.GetConfigVersion(), LastContact: time.Now(),
		})
	}
}
