package server

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/queue"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// refuseLead is how long before its deadline a waiting request is refused. The entry's own deadline is earlier than the
	// agent's by the transit of the request, so that a refusal at the deadline would come too late and the caller would be
	// told that it is not known whether the request ran.
	refuseLead = 100 * time.Millisecond
	// refuseShare bounds refuseLead to this part of the time that is left.
	refuseShare = 4
)

// job is one request between its arrival and its end.
type job struct {
	item queue.Item
	// waiter holds the adapter; nil for plain services.
	waiter *slots.Waiter
	// turn receives nil when the request may start, or why it is refused. It has room for one value.
	turn chan error
	// arrived and loaded are when the request arrived and when it had its adapter.
	arrived time.Time
	loaded  time.Time
	// started, epoch and place belong to a request that has a place among the running ones.
	started time.Time
	epoch   int64
	place   bool
}

// await returns nil when the job may start, or why it is refused.
func (j *job) await(ctx context.Context) error {
	left := time.Until(j.item.Deadline)
	timer := time.NewTimer(left - min(refuseLead, left/refuseShare))
	defer timer.Stop()

	select {
	case err := <-j.turn:
		return err
	case <-timer.C:
		return fault.New(fault.Overloaded, "not started before its deadline")
	case <-ctx.Done():
		return fault.FromError(ctx.Err())
	}
}
