package engine

import (
	"context"
	"time"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// fetchTimeout bounds one load, so that a weight store that never responds does not occupy a slot forever.
const fetchTimeout = time.Minute

// pendingLoad is a load in progress; done is closed after err is set.
type pendingLoad struct {
	done chan struct{}
	err  error
}

// Order implements api.Engine. A load continues after its caller has disconnected.
func (s *Server) Order(ctx context.Context, order api.Order) error {
	return s.do(ctx, true, func() error { return s.order(ctx, order) })
}

func (s *Server) order(ctx context.Context, order api.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.checkFence(order.Fence); err != nil {
		return err
	}

	switch order.Action {
	case api.ActionLoad:
		return s.load(ctx, order.Adapter)
	case api.ActionUnload:
		s.unload(order.Adapter)
		return nil
	default:
		return fault.New(fault.BackendFailed, "unknown action %q", order.Action)
	}
}

// checkFence records the fencing number of an order. An order with an older number is rejected with fencing, else counted.
func (s *Server) checkFence(fence int64) error {
	if fence >= s.fence {
		s.fence = fence
		return nil
	}

	if s.config.Fencing {
		return fault.New(fault.Conflict, "fencing number %d is older than %d", fence, s.fence)
	}

	s.record.StaleOrders++

	return nil
}

// load loads an adapter and returns when it is resident. Calls for an adapter that is loading share one load. It releases the
// mutex while it waits.
func (s *Server) load(ctx context.Context, adapter api.Adapter) error {
	if s.isResident(adapter) {
		return nil
	}

	pending, ok := s.loading[adapter]
	if !ok {
		if len(s.resident)+len(s.loading) >= s.config.Slots {
			return fault.New(fault.Overloaded, "all %d adapter slots are taken", s.config.Slots)
		}

		pending = &pendingLoad{done: make(chan struct{})}
		s.loading[adapter] = pending
		s.recordReport()

		go s.fetch(s.ctx, adapter, pending)
	}

	s.mu.Unlock()
	defer s.mu.Lock()

	select {
	case <-pending.done:
		return pending.err
	case <-ctx.Done():
		return fault.FromError(ctx.Err())
	}
}

func (s *Server) fetch(bootCtx context.Context, adapter api.Adapter, pending *pendingLoad) {
	ctx, cancel := context.WithTimeout(bootCtx, fetchTimeout)
	defer cancel()

	err := s.config.Fetch(ctx, adapter)

	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(pending.done)

	switch {
	case bootCtx.Err() != nil:
		pending.err = fault.New(fault.BackendFailed, "the engine restarted")
		return
	case err != nil:
		pending.err = fault.Wrap(err, fault.AdapterUnavailable, "load %s@%s", adapter.Name, adapter.Version)
	case consume(&s.faults.FailingLoads):
		pending.err = fault.New(fault.AdapterUnavailable, "load %s@%s failed by a fault switch", adapter.Name, adapter.Version)
	default:
		s.resident[adapter] = true
		s.record.Loads++
	}

	delete(s.loading, adapter)
	s.recordReport()
}

// unload frees a slot. It aborts and counts the requests that use the adapter, because the agent must not let this happen.
func (s *Server) unload(adapter api.Adapter) {
	delete(s.resident, adapter)

	for _, g := range s.requestsUsing(adapter) {
		s.record.EvictedRequests++
		s.abortRequest(g)
	}

	s.recordReport()
}

func (s *Server) requestsUsing(adapter api.Adapter) []*generation {
	var using []*generation

	for _, list := range [][]*generation{s.running, s.waiting} {
		for _, g := range list {
			if g.request.Adapter == adapter {
				using = append(using, g)
			}
		}
	}

	return using
}

// isResident reports whether an adapter is resident; the empty name stands for the base model, which always is.
func (s *Server) isResident(adapter api.Adapter) bool {
	return adapter.Name == "" || s.resident[adapter]
}
