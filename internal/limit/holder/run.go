package holder

import (
	"context"
	"time"
)

// Run keeps the shares up to date with the board until the context ends. Without it a share would begin to refill
// only when it is first asked for.
func (h *Holder) Run(ctx context.Context) error {
	for {
		shares := h.Board.Shares.Changed()
		document := h.Board.Document.Changed()

		var grown <-chan time.Time
		if h.Refresh() {
			grown = time.After(MaxAdmissionDelay)
		}

		select {
		case <-ctx.Done():
			return nil
		case <-shares:
		case <-document:
		case <-grown:
		}
	}
}

// Refresh applies the board to every share. It reports whether a share still has to grow.
func (h *Holder) Refresh() bool {
	now := time.Now()
	assignments := h.Board.Shares.Value()
	growing := false

	h.mu.Lock()
	defer h.mu.Unlock()

	for account := range assignments {
		held, _ := h.current(account, now)
		growing = growing || held != nil && held.part != held.goal
	}

	return growing
}
