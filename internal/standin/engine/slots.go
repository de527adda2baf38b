package engine

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// fetchTimeout bounds one load, so that a weight store that never answers does not occupy a slot for ever.
const fetchTimeout = time.Minute

// load is a load that is under way; done is closed after err is set.
type load struct {
	done chan struct{}
	err  error
}

// Order implements engine.Engine. A load goes on when its caller goes away.
func (m *Server) Order(ctx context.Context, order engine.Order) error {
	return m.do(ctx, true, func() error { return m.order(ctx, order) })
}

func (m *Server) order(ctx context.Context, order engine.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	if err := m.checkFence(order.Fence); err != nil {
		return err
	}

	switch order.Action {
	case engine.ActionLoad:
		return m.load(ctx, order.Adapter)
	case engine.ActionUnload:
		m.unload(order.Adapter)
		return nil
	default:
		return fault.New(fault.BackendFailed, "unknown action %q", order.Action)
	}
}

func (m *Server) checkFence(fence int64) error {
	if fence >= m.fence {
		m.fence = fence
		return nil
	}

	if m.config.Fencing {
		return fault.New(fault.Conflict, "fencing number %d is older than %d", fence, m.fence)
	}

	m.record.StaleOrders++

	return nil
}

// load gets an adapter and returns when it is resident. It gives up the mutex while it waits.
func (m *Server) load(ctx context.Context, adapter engine.Adapter) error {
	if m.holds(adapter) {
		return nil
	}

	current, ok := m.loading[adapter]
	if !ok {
		if len(m.resident)+len(m.loading) >= m.config.Slots {
			return fault.New(fault.Overloaded, "all %d adapter slots are taken", m.config.Slots)
		}

		current = &load{done: make(chan struct{})}
		m.loading[adapter] = current
		m.note()

		go m.fetch(m.ctx, adapter, current)
	}

	m.mu.Unlock()
	defer m.mu.Lock()

	select {
	case <-current.done:
		return current.err
	case <-ctx.Done():
		return fault.FromError(ctx.Err())
	}
}

func (m *Server) fetch(boot context.Context, adapter engine.Adapter, current *load) {
	ctx, cancel := context.WithTimeout(boot, fetchTimeout)
	defer cancel()

	err := m.config.Fetch(ctx, adapter)

	m.mu.Lock()
	defer m.mu.Unlock()
	defer close(current.done)

	switch {
	case boot.Err() != nil:
		current.err = fault.New(fault.BackendFailed, "the engine restarted")
		return
	case err != nil:
		current.err = fault.Wrap(err, fault.AdapterUnavailable, "load %s@%s", adapter.Name, adapter.Version)
	case takeOne(&m.faults.Fail):
		current.err = fault.New(fault.AdapterUnavailable, "load %s@%s failed by a fault switch", adapter.Name, adapter.Version)
	default:
		m.resident[adapter] = true
		m.record.Loads++
	}

	delete(m.loading, adapter)
	m.note()
}

// unload frees a slot. Requests that use the adapter are cut and counted, because the agent must not let this happen.
func (m *Server) unload(adapter engine.Adapter) {
	delete(m.resident, adapter)

	for _, a := range m.using(adapter) {
		m.record.EvictedRequests++
		m.end(a)
	}

	m.note()
}

func (m *Server) using(adapter engine.Adapter) []*answer {
	var using []*answer

	for _, list := range [][]*answer{m.running, m.waiting} {
		for _, a := range list {
			if a.request.Adapter == adapter {
				using = append(using, a)
			}
		}
	}

	return using
}

// holds reports whether an adapter is resident; the empty name is the base model.
func (m *Server) holds(adapter engine.Adapter) bool {
	return adapter.Name == "" || m.resident[adapter]
}
