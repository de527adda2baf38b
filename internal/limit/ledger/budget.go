package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
)

const (
	// minLoadRetryDelay keeps a waiting process from calling the holders in a tight loop.
	minLoadRetryDelay = 50 * time.Millisecond
	// maxLoadRetryDelay bounds the time between two attempts while other processes take the tokens first.
	maxLoadRetryDelay = time.Second
)

// LoadBudget limits the rate of weight-store loads across the fleet.
type LoadBudget struct {
	Ledger *Ledger
}

// Take waits until it has debited the token for one load, or until the context ends.
func (b *LoadBudget) Take(ctx context.Context) error {
	for {
		_, err := b.Ledger.Debit(ctx, terms.WeightStoreAccount, 1)
		if err == nil {
			return nil
		}

		delay := min(max(fault.FromError(err).RetryDelay(), minLoadRetryDelay), maxLoadRetryDelay)
		delay += time.Duration(rand.Int64N(int64(minLoadRetryDelay)))

		select {
		case <-ctx.Done():
			return fault.FromError(ctx.Err())
		case <-time.After(delay):
		}
	}
}
