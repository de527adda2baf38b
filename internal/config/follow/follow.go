// Package follow keeps the configuration on the board up to date from the table and from peers, and tracks when it was last
// confirmed to be the newest version. The configuration is one document; both words mean the same here.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// EntryPeriod is the time between polls of an entry.
	EntryPeriod = 1500 * time.Millisecond
	// AgentPeriod is the time between polls of an agent. It is longer than EntryPeriod because requests confirm the version
	// of an agent as well.
	AgentPeriod = 2 * time.Second
	// MaxConfirmationAge is the age of the last confirmation beyond which a process refuses requests that need a key.
	MaxConfirmationAge = board.MaxConfirmationAge
	// tableRecentAge is the age of the table's last confirmation above which peers in all failure domains are called. It
	// is above the longest time between two polls of an entry, and leaves time for a round of calls before
	// MaxConfirmationAge.
	tableRecentAge = 2 * time.Second
	// startupRounds is the number of rounds in which a new process calls all failure domains. The first assignment of an
	// account waits for contact with entries in several of them.
	startupRounds = 4
	// jitter is the largest change of a period, as a fraction of it; it spreads the polls of the fleet over time.
	jitter = 0.2
	// callTimeout bounds a read of the head and a call to a peer, so that several fit into MaxConfirmationAge.
	callTimeout = time.Second
	// documentTimeout bounds a call to a peer that may send a whole document.
	documentTimeout = 5 * time.Second
	// catchUpTimeout bounds the read for a request that needs a newer version.
	catchUpTimeout = 2 * time.Second
	// readTimeout bounds reading the log or a snapshot.
	readTimeout = 20 * time.Second
)

var logger = logrus.WithField("component", "config")

var (
	versionGauge = metrics.GetOrRegisterGauge("config.version", metrics.DefaultRegistry)
	// ageGauge is the age of the last confirmation, in milliseconds.
	ageGauge     = metrics.GetOrRegisterGauge("config.age", metrics.DefaultRegistry)
	pendingGauge = metrics.GetOrRegisterGauge("config.held", metrics.DefaultRegistry)
)

// Self describes an entry process to its peers.
type Self struct {
	// Name is the platform's name of the VM.
	Name string
	// Address is the drpc address of this process, as in the VM list.
	Address string
	// Boot identifies this run of the process.
	Boot string
	// Domain is the failure domain.
	Domain string
}

// SyncClient calls Peer.Sync at an address.
type SyncClient interface {
	Sync(ctx context.Context, address string, request *rpc.SyncRequest) (*rpc.SyncReply, error)
}

// tableRead is the result of a read of the table.
type tableRead struct {
	began time.Time
	err   error
}

// Follower is the controller that writes the document, its freshness, the pending revocations and the peers to the board. A
// revocation is pending until the document contains it. Exported fields are set before Run.
type Follower struct {
	Board *board.Board
	Store *store.Store
	// Self is set in entries only; agents have no peers.
	Self Self
	// PeerClient calls the other entries; nil in agents.
	PeerClient SyncClient
	// EntryClient calls entries for an agent when the table does not have what it needs; nil in entries.
	EntryClient SyncClient
	// ListEntries returns the entries that EntryClient may call; set with EntryClient.
	ListEntries func(ctx context.Context) []vms.VM
	// Period is the time between polls.
	Period time.Duration

	// mu guards the fields below and orders the writes to the board.
	mu        sync.Mutex
	freshness Freshness
	history   history
	// readToken holds one token while the table is being read, and guards lastRead.
	readToken chan struct{}
	lastRead  tableRead
	// wake makes Run read the table at once.
	wake chan struct{}
	// announce makes Run call every listed entry at once.
	announce chan struct{}
	// snapshotVersion is the version at which a snapshot was last tried.
	snapshotVersion int64
	// cachedEntries is built from the VM list on first use.
	cachedEntries atomic.Pointer[entryIndex]
	// peerRounds counts the calls of refreshPeers; only the peer loop uses it.
	peerRounds int
	once       sync.Once
}

// Run polls until the context ends. Table, peers and snapshots have separate loops, so that a slow table or object store does
// not delay the confirmation by peers.
func (f *Follower) Run(ctx context.Context) error {
	f.init()

	var loops sync.WaitGroup

	loops.Go(func() { f.loop(ctx, f.wake, f.refreshTable, f.refreshTable) })

	if f.PeerClient != nil {
		loops.Go(func() { f.loop(ctx, f.announce, f.refreshPeers, f.SyncAll) })
		loops.Go(func() { f.loop(ctx, nil, f.snapshot, nil) })
	}

	loops.Wait()

	return nil
}

// loop runs step once in each period, and onWake whenever wake receives.
func (f *Follower) loop(ctx context.Context, wake <-chan struct{}, step, onWake func(context.Context)) {
	step(ctx)

	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-wake:
			onWake(ctx)
		case <-time.After(f.jitteredPeriod()):
			step(ctx)
		}
	}
}

func (f *Follower) refreshTable(ctx context.Context) {
	err := f.pull(ctx)

	// A new agent needs any document before it can serve; requests name the version that they need.
	if err != nil && f.version() < 0 {
		f.fetchFromEntries(ctx, 0)
	}

	f.publishFreshness()

	// Only entries, which are few, commit pending revocations: agents would race for the head.
	if err == nil && f.PeerClient != nil {
		f.commitPending(ctx)
	}
}

// refreshPeers calls an entry in every failure domain when the confirmation by peers may be needed, and otherwise a single
// entry: in a fleet of 7 failure domains, calls to all of them take 1.9 KB/s of the 3 KB/s that a node may use.
func (f *Follower) refreshPeers(ctx context.Context) {
	f.peerRounds++

	if f.peerRounds > startupRounds && f.singlePeerSuffices() {
		f.syncNext(ctx)
	} else {
		f.syncDomains(ctx)
	}

	f.publishFreshness()
}

// singlePeerSuffices reports whether the table has confirmed the document recently and no revocation is pending.
func (f *Follower) singlePeerSuffices() bool {
	if f.version() < 0 || len(f.Board.PendingRevocations.Value()) > 0 {
		return false
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	return !f.freshness.tableUnavailable && time.Since(f.freshness.tableConfirmed) < tableRecentAge
}

// ApplyCommitted applies a document that this process has committed itself, and announces it to the other entries.
func (f *Follower) ApplyCommitted(next *document.Document, change document.Change) {
	f.init()
	f.apply(next, []document.Change{change})

	select {
	case f.announce <- struct{}{}:
	default:
	}
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.readToken = make(chan struct{}, 1)
		f.wake = make(chan struct{}, 1)
		f.announce = make(chan struct{}, 1)
		f.freshness.Domain = f.Self.Domain
	})
}

func (f *Follower) jitteredPeriod() time.Duration {
	factor := 1 - jitter + 2*jitter*rand.Float64()

	return time.Duration(float64(f.Period) * factor)
}

// version is -1 before the first document is known.
func (f *Follower) version() int64 {
	d := f.Board.Document.Value()
	if d == nil {
		return -1
	}

	return d.Version
}

// apply puts a document with a higher version on the board. Changes are those that lead to it, if they are known.
func (f *Follower) apply(next *document.Document, changes []document.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()

	current := f.Board.Document.Value()
	if current != nil {
		if next.Version <= current.Version {
			return
		}

		current.CheckNewer(next)
	}

	f.recordHistory(current, next, changes)
	f.Board.Document.Set(next)
	f.dropCommitted(next)

	logger.WithFields(logrus.Fields{"version": next.Version}).Info("applied configuration")
}

// recordHistory adds the changes from current to next, or clears the history if some of them are not known.
func (f *Follower) recordHistory(current, next *document.Document, changes []document.Change) {
	now := time.Now()
	base := int64(0)

	if current != nil {
		base = current.Version
	}

	known := next.Version - base
	if known > int64(len(changes)) {
		f.history.reset(now)
		return
	}

	f.history.add(changes[int64(len(changes))-known:], now)
}
