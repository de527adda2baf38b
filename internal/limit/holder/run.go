package holder

import (
	"context"
	"time"
)

// Run keeps the shares up to date with the board until the context ends. Without it, a share would start to refill only at
// its first debit.
func (h *Holder) Run(ctx context.Context) error {
	for {
		shares := h.Board.Shares.Changed()
		document := h.Board.Document.Changed()

		// A share shrinks at once and grows MaxAdmissionDelay after its assignment.
		var growth <-chan time.Time
		if h.Refresh() {
			growth = time.After(MaxAdmissionDelay)
		}

		select {
		case <-ctx.Done():
			return nil
		case <-shares:
		case <-document:
		case <-growth:
		}
	}
}

// Refresh applies the assignments and the limits of the board to every share. It reports whether a share still has to grow to
// its assigned range.
func (h *Holder) Refresh() bool {
	now := time.Now()
	assignments := h.Board.Shares.Value()
	growing := false

	h.mu.Lock()
	defer h.mu.Unlock()

	for account := range assignments {
		held, _ := h.currentShare(account, now)
		growing = growing || held != nil && held.active != held.target
	}

	return growing
}
