package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
)

const (
	// minPause keeps a waiting process from asking the holders in a tight loop.
	minPause = 50 * time.Millisecond
	// maxPause bounds the time between two tries while others take the tokens first.
	maxPause = time.Second
)

// LoadBudget is the fleet-wide budget of weight-store loads.
type LoadBudget struct {
	Ledger *Ledger
}

// Take waits until it has the token for one load, or until the context ends.
func (b *LoadBudget) Take(ctx context.Context) error {
	for {
		_, err := b.Ledger.Debit(ctx, terms.WeightStoreAccount, 1)
		if err == nil {
			return nil
		}

		pause := min(max(fault.Of(err).Retry(), minPause), maxPause)
		pause += time.Duration(rand.Int64N(int64(minPause)))

		select {
		case <-ctx.Done():
			return fault.Of(ctx.Err())
		case <-time.After(pause):
		}
	}
}
