package soak

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
)

// statusPollInterval is the interval at which the status of an entry is polled.
const statusPollInterval = 700 * time.Millisecond

// statusMonitor checks P14 with the status that entries report to operators.
type statusMonitor struct {
	fleet *Fleet
	done  chan struct{}

	mu       sync.Mutex
	accepted []accepted
	// lastVersion maps a process to the version that it reported last.
	lastVersion map[*process]int64
}

func newStatusMonitor(f *Fleet) *statusMonitor {
	return &statusMonitor{fleet: f, done: make(chan struct{}), lastVersion: map[*process]int64{}}
}

// run polls the entries until the context ends and then checks that the log contains every accepted change under its
// version.
func (w *statusMonitor) run(ctx context.Context) {
	defer close(w.done)

	var group sync.WaitGroup

	for _, domain := range domains {
		group.Go(func() {
			for ctx.Err() == nil {
				w.poll(ctx, domain)
				time.Sleep(statusPollInterval)
			}
		})
	}

	group.Wait()
	w.checkLog()
}

// poll requests the status of an entry and compares its version with earlier ones and with the accepted changes.
func (w *statusMonitor) poll(ctx context.Context, domain string) {
	var status api.Status

	began := time.Now()
	owner := w.fleet.entry(domain)

	if err := w.fleet.operator(domain).Get(ctx, "/status", nil, &status); err != nil {
		return
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if w.fleet.entry(domain) == owner {
		if status.Version < w.lastVersion[owner] {
			w.fleet.record.reportViolation("P14: %s went from version %d back to %d", owner.name, w.lastVersion[owner], status.Version)
		}

		w.lastVersion[owner] = status.Version
	}

	for _, each := range w.accepted {
		if status.Fresh && status.Version < each.version && began.Sub(each.at) > inForceDelay+transitTime {
			w.fleet.record.reportViolation("P14: %s serves version %d %s after %d was accepted", owner.name, status.Version, began.Sub(each.at), each.version)
		}
	}
}

// checkLog checks that the change log contains the accepted changes under their versions.
func (w *statusMonitor) checkLog() {
	w.mu.Lock()
	defer w.mu.Unlock()

	records := &store.Store{Table: &w.fleet.table.memory, Objects: w.fleet.objects}

	changes, err := records.Log(context.Background(), 0)
	if err != nil {
		w.fleet.record.reportViolation("P14: the log cannot be read: %v", err)
		return
	}

	found := map[string]int64{}
	for _, change := range changes {
		found[change.ID] = change.Version
	}

	for _, each := range w.accepted {
		if found[each.id] != each.version {
			w.fleet.record.reportViolation("P14: change %s was accepted as version %d and is version %d in the log", each.id, each.version, found[each.id])
		}
	}
}
