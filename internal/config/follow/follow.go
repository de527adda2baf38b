// Package follow keeps the board's document up to date from the table and from peers, and says how fresh it is.
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
	// AgentPeriod is the time between polls of an agent; agents are confirmed by requests as well.
	AgentPeriod = 2 * time.Second
	// MaxAge is the age of the last confirmation beyond which a process refuses keyed work.
	MaxAge = board.MaxConfirmationAge
	// tableRecent is the age of the table's last confirmation from which on peers of all failure domains are called. It is
	// above the longest time between two polls of an entry, and leaves time for a round of calls before MaxAge.
	tableRecent = 2 * time.Second
	// firstRounds is the number of rounds in which a new process calls all failure domains. The first assignment of an
	// account waits for contact with entries in several of them.
	firstRounds = 4
	// jitter spreads the polls of the fleet over time.
	jitter = 0.2
	// callTimeout bounds a read of the head and a call to a peer, so that several fit into MaxAge.
	callTimeout = time.Second
	// wholeTimeout bounds a call to a peer that may send a whole document.
	wholeTimeout = 5 * time.Second
	// catchUpTimeout bounds the read for a request that needs a newer version.
	catchUpTimeout = 2 * time.Second
	// readTimeout bounds reading the log or a snapshot.
	readTimeout = 20 * time.Second
)

var logger = logrus.WithField("component", "config")

var (
	versionGauge = metrics.GetOrRegisterGauge("config.version", metrics.DefaultRegistry)
	// ageGauge is the age of the last confirmation, in milliseconds.
	ageGauge  = metrics.GetOrRegisterGauge("config.age", metrics.DefaultRegistry)
	heldGauge = metrics.GetOrRegisterGauge("config.held", metrics.DefaultRegistry)
)

// Self describes an entry process to its peers.
type Self struct {
	// Name is the platform's name of the VM.
	Name string
	// Address is the own drpc address, as in the VM list.
	Address string
	Boot    string
	Domain  string
}

// SyncClient calls Peer.Sync at an address.
type SyncClient interface {
	Sync(ctx context.Context, address string, request *rpc.SyncRequest) (*rpc.SyncReply, error)
}

// pulled is the last read of the table.
type pulled struct {
	began time.Time
	err   error
}

// Follower is the controller that writes the document, its freshness, the held revocations and the peers to the board.
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
	mu      sync.Mutex
	fresh   Freshness
	history history
	// pulling holds one token while the table is being read, and guards pulled.
	pulling chan struct{}
	pulled  pulled
	// wake makes Run read the table now.
	wake chan struct{}
	// announce makes Run call every listed entry now.
	announce    chan struct{}
	snapshotted int64
	// entries is made from the VM list when it is needed.
	entries atomic.Pointer[listed]
	// rounds counts the calls of refreshPeers; only the loop of the peers uses it.
	rounds int
	once   sync.Once
}

// Run polls until the context ends. Table, peers and snapshots have loops of their own, so that a slow store does not
// delay the confirmation by peers.
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

// loop runs a step in each period, and another one whenever it is woken.
func (f *Follower) loop(ctx context.Context, wake <-chan struct{}, step, woken func(context.Context)) {
	step(ctx)

	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-wake:
			woken(ctx)
		case <-time.After(f.pause()):
			step(ctx)
		}
	}
}

func (f *Follower) refreshTable(ctx context.Context) {
	err := f.pull(ctx)

	// A new agent needs some document before it can serve; requests name the version that they need.
	if err != nil && f.version() < 0 {
		f.askEntries(ctx, 0)
	}

	f.publishFresh()

	// Agents leave it to the few entries to commit, so that they do not race for the head.
	if err == nil && f.PeerClient != nil {
		f.commitHeld(ctx)
	}
}

// refreshPeers calls an entry in every failure domain when the peers' confirmation may be needed, and otherwise a single
// one: in a fleet of 7 failure domains, calls to all of them would take 1.9 KB/s of the 3 KB/s that a node may spend.
func (f *Follower) refreshPeers(ctx context.Context) {
	f.rounds++

	if f.rounds > firstRounds && f.tableSuffices() {
		f.syncNext(ctx)
	} else {
		f.syncDomains(ctx)
	}

	f.publishFresh()
}

// tableSuffices reports whether the table confirmed the document a moment ago and nothing is to be spread.
func (f *Follower) tableSuffices() bool {
	if f.version() < 0 || len(f.Board.PendingRevocations.Value()) > 0 {
		return false
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	return !f.fresh.silent && time.Since(f.fresh.table) < tableRecent
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
		f.pulling = make(chan struct{}, 1)
		f.wake = make(chan struct{}, 1)
		f.announce = make(chan struct{}, 1)
		f.fresh.Domain = f.Self.Domain
	})
}

func (f *Follower) pause() time.Duration {
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

	f.remember(current, next, changes)
	f.Board.Document.Set(next)
	f.dropCommitted(next)

	logger.WithFields(logrus.Fields{"version": next.Version}).Info("configuration is applied")
}

func (f *Follower) remember(current, next *document.Document, changes []document.Change) {
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
