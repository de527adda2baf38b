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
	// fenceRetryDelay is the delay after a failed attempt to acquire a fencing number.
	fenceRetryDelay = time.Second
	// refusedFenceDelay is the delay before a new number is acquired after the engine refused the previous one. Without it, two
	// agent processes of one engine would keep invalidating each other's numbers.
	refusedFenceDelay = 30 * time.Second
	// fenceTimeout limits one access to the table.
	fenceTimeout = 2 * time.Second
)

// fenceRow is the value of a row fence/<server>.
type fenceRow struct {
	// Fence is the last number that was acquired; it never decreases.
	Fence int64 `json:"fence"`
}

// Fence acquires and holds the fencing number of this agent process. The exported fields are set before Run.
type Fence struct {
	// Table holds the row fence/<server>.
	Table table.Table
	// Server is the name of the backend server.
	Server string

	mu sync.Mutex
	// number is 0 while none is held.
	number int64
	// acquired is closed when a number is acquired; nil while nothing waits for one.
	acquired chan struct{}
	// invalidated is closed when the current number is invalidated.
	invalidated chan struct{}
}

// Run acquires a fencing number, and a new one whenever the current one was refused, until the context ends.
func (f *Fence) Run(ctx context.Context) {
	for ctx.Err() == nil {
		number, err := f.acquire(ctx)
		if err != nil {
			logrus.WithFields(logrus.Fields{"component": "orders", "server": f.Server}).
				WithError(err).Warn("failed to acquire a fencing number from the table")
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

// Invalidate drops a number that the engine refused; it does nothing if another one is held.
func (f *Fence) Invalidate(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.number != number || number == 0 {
		return
	}

	f.number = 0
	close(f.invalidated)
}

// acquire increments the number in the table. If the response to the commit is lost, the next attempt acquires a higher
// number.
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

// set stores an acquired number and returns a channel that is closed when the number is invalidated.
func (f *Fence) set(number int64) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.number = number
	f.invalidated = make(chan struct{})
	close(f.acquiredSignal())
	f.acquired = nil

	return f.invalidated
}

// acquiredSignal returns the channel that is closed when a number is acquired. The caller holds the mutex.
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
