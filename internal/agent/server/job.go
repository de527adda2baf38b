package server

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/queue"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// refusalLead is how long before its deadline a queued request is refused. The entry's deadline is earlier than the agent's
	// by the transit time of the request. A refusal at the deadline would arrive too late, and the entry would report that the
	// request may have run.
	refusalLead = 100 * time.Millisecond
	// refusalLeadDivisor limits the lead to this fraction of the remaining time.
	refusalLeadDivisor = 4
)

// job is one request from its arrival to its completion.
type job struct {
	item queue.Item
	// waiter holds the pin on the adapter; nil for a plain service.
	waiter *slots.Waiter
	// decision receives nil when the request may start, or the reason for its refusal. It is buffered for one value.
	decision chan error
	// arrivedAt is when the request arrived, and adapterReadyAt when its adapter was resident.
	arrivedAt      time.Time
	adapterReadyAt time.Time
	// startedAt and rampEpoch are set when the job gets a concurrency slot; hasSlot is true until it is released.
	startedAt time.Time
	rampEpoch int64
	hasSlot   bool
}

// await returns nil when the job may start, or the reason for its refusal.
func (j *job) await(ctx context.Context) error {
	left := time.Until(j.item.Deadline)
	timer := time.NewTimer(left - min(refusalLead, left/refusalLeadDivisor))
	defer timer.Stop()

	select {
	case err := <-j.decision:
		return err
	case <-timer.C:
		return fault.New(fault.Overloaded, "not started before its deadline")
	case <-ctx.Done():
		return fault.FromError(ctx.Err())
	}
}
