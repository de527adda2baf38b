package soak

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
)

// watchPeriod is the time between two looks at an entry.
const watchPeriod = 700 * time.Millisecond

// watch checks P14 from the status that entries show to operators.
type watch struct {
	fleet *Fleet
	done  chan struct{}

	mu       sync.Mutex
	accepted []accepted
	// seen maps a process to the highest version that it has shown.
	seen map[*process]int64
}

func newWatch(f *Fleet) *watch {
	return &watch{fleet: f, done: make(chan struct{}), seen: map[*process]int64{}}
}

// run looks at the entries until the context ends, then checks that every accepted change is in the log once.
func (w *watch) run(ctx context.Context) {
	defer close(w.done)

	var group sync.WaitGroup

	for _, domain := range domains {
		group.Go(func() {
			for ctx.Err() == nil {
				w.look(ctx, domain)
				time.Sleep(watchPeriod)
			}
		})
	}

	group.Wait()
	w.checkLog()
}

func (w *watch) look(ctx context.Context, domain string) {
	var status api.Status

	began := time.Now()
	owner := w.fleet.entry(domain)

	if err := w.fleet.operator(domain).Get(ctx, "/status", nil, &status); err != nil {
		return
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if w.fleet.entry(domain) == owner {
		if status.Version < w.seen[owner] {
			w.fleet.record.violate("P14: %s went from version %d back to %d", owner.name, w.seen[owner], status.Version)
		}

		w.seen[owner] = status.Version
	}

	for _, each := range w.accepted {
		if status.Fresh && status.Version < each.version && began.Sub(each.at) > forceTime+transit {
			w.fleet.record.violate("P14: %s serves version %d %s after %d was accepted", owner.name, status.Version, began.Sub(each.at), each.version)
		}
	}
}

func (w *watch) checkLog() {
	w.mu.Lock()
	defer w.mu.Unlock()

	records := &store.Store{Table: &w.fleet.tables.memory, Objects: w.fleet.objects}

	changes, err := records.Log(context.Background(), 0)
	if err != nil {
		w.fleet.record.violate("P14: the log cannot be read: %v", err)
		return
	}

	found := map[string]int64{}
	for _, change := range changes {
		found[change.ID] = change.Version
	}

	for _, each := range w.accepted {
		if found[each.id] != each.version {
			w.fleet.record.violate("P14: change %s was accepted as version %d and is version %d in the log", each.id, each.version, found[each.id])
		}
	}
}
