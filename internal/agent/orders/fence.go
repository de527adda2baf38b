package orders

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
)

const (
	// fencePrefix is the key prefix of the table rows with fencing numbers.
	fencePrefix = "fence/"
	// fenceRetry is the pause after a failed try to take a fencing number.
	fenceRetryDelay = time.Second
	// fencedPause is the pause before a new number is taken after the engine refused the old one, so that two agent
	// processes with one engine don't outbid each other without end.
	refusedFenceDelay = 30 * time.Second
	// fenceTimeout bounds one access to the table.
	fenceTimeout = 2 * time.Second
)

// fenceRow is the value of a row fence/<server>.
type fenceRow struct {
	// Fence is the number taken last; it only grows.
	Fence int64 `json:"fence"`
}

// Fence holds the fencing number of this agent process.
type Fence struct {
	// Table holds the row fence/<server>.
	Table table.Table
	// Server is the name of the backend server.
	Server string

	mu sync.Mutex
	// number is 0 while none is held.
	number      int64
	acquired    chan struct{}
	invalidated chan struct{}
}

// Run takes a fencing number, and takes a new one whenever the held one was refused, until the context ends.
func (f *Fence) Run(ctx context.Context) {
	for ctx.Err() == nil {
		number, err := f.acquire(ctx)
		if err != nil {
			logrus.WithFields(logrus.Fields{"component": "orders", "server": f.Server}).
				WithError(err).Warn("waiting for a fencing number from the table")
			sleep(ctx, fenceRetryDelay)

			continue
		}

		invalidated := f.set(number)

		select {
		case <-invalidated:
			sleep(ctx, refusedFenceDelay)
		case <-ctx.Done():
		}
	}
}

// Number returns the fencing number; it waits until one is held.
func (f *Fence) Number(ctx context.Context) (int64, error) {
	for {
		f.mu.Lock()
		number := f.number
		acquired := f.acquiredSignal()
		f.mu.Unlock()

		if number != 0 {
			return number, nil
		}

		select {
		case <-acquired:
		case <-ctx.Done():
			return 0, fault.Wrap(ctx.Err(), fault.TableUnavailable, "no fencing number")
		}
	}
}

// Held reports whether a fencing number is held.
func (f *Fence) Held() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.number != 0
}

// Invalidate gives up a number that the engine refused.
func (f *Fence) Invalidate(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.number != number || number == 0 {
		return
	}

	f.number = 0
	close(f.invalidated)
}

// take raises the number in the table by 1. If the answer of a commit is lost, the next try takes a higher number.
func (f *Fence) acquire(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()

	key := fencePrefix + f.Server

	row, err := f.Table.Get(ctx, key)
	if err != nil {
		return 0, err
	}

	var held fenceRow

	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &held); err != nil {
			return 0, fault.Wrap(err, fault.Internal, "decode row %s", key)
		}
	}

	held.Fence++

	value, err := json.Marshal(held)
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "encode row %s", key)
	}

	_, err = f.Table.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: key, Version: row.Version}},
		Puts:   []table.Put{{Key: key, Value: value}},
	})

	return held.Fence, err
}

func (f *Fence) set(number int64) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.number = number
	f.invalidated = make(chan struct{})
	close(f.acquiredSignal())
	f.acquired = nil

	return f.invalidated
}

// signal returns the channel that is closed when a number is held.
func (f *Fence) acquiredSignal() chan struct{} {
	if f.acquired == nil {
		f.acquired = make(chan struct{})
	}

	return f.acquired
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
