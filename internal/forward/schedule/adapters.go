package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// Observe takes a report of the server.
func (s *Scheduler) Observe(now time.Time, report Report) {
	if report.StartedAt != s.report.StartedAt || s.held == nil {
		s.held = map[Adapter]*adapter{}
		s.recent = map[Adapter]time.Time{}
	}

	s.report = report
	s.reported = true

	listed := map[Adapter]int64{}

	for _, model := range report.Models {
		for _, resident := range model.Adapters {
			listed[resident.Adapter] = resident.Version
		}
	}

	for name, version := range listed {
		found := s.adapter(name)
		found.loading = found.loading && found.version == version && now.Sub(found.since) < loadTime
		found.version = version
		found.leaving = false
	}

	for _, pending := range report.Pending {
		found := s.adapter(pending.Adapter)
		if !found.loading {
			found.loading = true
			found.since = now
		}
	}

	maps.DeleteFunc(s.held, func(name Adapter, found *adapter) bool {
		if _, ok := listed[name]; ok {
			return false
		}

		found.version = 0
		awaited := found.loading && (now.Sub(found.since) < loadTime || pendingHas(report, name))

		return !awaited && found.users == 0
	})
}

func pendingHas(report Report, name Adapter) bool {
	return slices.ContainsFunc(report.Pending, func(pending AdapterVersion) bool { return pending.Adapter == name })
}

// Silent says that the server does not answer.
func (s *Scheduler) ServerUnreachable() {
	s.reported = false
}

func (s *Scheduler) adapter(name Adapter) *adapter {
	found := s.held[name]
	if found == nil {
		found = &adapter{}
		s.held[name] = found
	}

	return found
}

// Order returns the next order for the server.
func (s *Scheduler) NextOrder(now time.Time) (Order, bool) {
	if !s.reported || !s.Configured() || s.report.ModelLoading || s.report.Draining || now.Before(s.pause) {
		return Order{}, false
	}

	if order, ok := s.orderModel(); ok {
		return order, true
	}

	for _, ticket := range s.ordered(now) {
		if !s.missing(ticket) || s.fetching() >= s.policy().MaxFetches && !s.atHand(ticket) {
			continue
		}

		return s.orderAdapter(ticket.Adapter)
	}

	return Order{}, false
}

// missing reports whether the request waits for an adapter that is not in transit.
func (s *Scheduler) missing(ticket *Request) bool {
	if s.present(ticket) || ticket.Adapter.Name == "" || !s.holds(ticket.Adapter.Model) || s.stale(ticket) {
		return false
	}

	found := s.held[ticket.Adapter]

	return found == nil || !found.loading
}

// atHand reports whether the server has the adapter in its own memory, at any version.
func (s *Scheduler) atHand(ticket *Request) bool {
	_, ok := s.recent[ticket.Adapter]

	return ok && ticket.MinVersion == 0
}

// fetching counts the adapters on their way from the weight store.
func (s *Scheduler) fetching() int {
	count := 0

	for _, found := range s.held {
		if found.loading && found.fetched {
			count++
		}
	}

	return count
}

// remember keeps the adapters that the server has at hand, the most recently used ones.
func (s *Scheduler) remember(now time.Time, name Adapter) {
	s.recent[name] = now

	for len(s.recent) > keptLimit {
		var oldest Adapter

		for other, used := range s.recent {
			first := s.recent[oldest]
			if oldest.Name == "" || used.Before(first) || used.Equal(first) && other.Name < oldest.Name {
				oldest = other
			}
		}

		delete(s.recent, oldest)
	}
}

// orderModel loads a model into a server that holds none: the first one that a request waits for, else the first one.
func (s *Scheduler) orderModel() (Order, bool) {
	if len(s.report.Models) > 0 {
		return Order{}, false
	}

	wanted := s.limits.Models[0]

	for _, ticket := range s.queue {
		at := slices.IndexFunc(s.limits.Models, func(model Model) bool { return model.Name == ticket.Adapter.Model })
		if at >= 0 {
			wanted = s.limits.Models[at]
			break
		}
	}

	if wanted.SizeMB > s.limits.CapacityMB {
		return Order{}, false
	}

	return s.order(Load, Adapter{Model: wanted.Name}), true
}

func (s *Scheduler) orderAdapter(name Adapter) (Order, bool) {
	loading := 0

	for _, found := range s.held {
		if found.loading {
			loading++
		}
	}

	if loading >= transit {
		return Order{}, false
	}

	replaces := s.held[name] != nil && s.held[name].version > 0
	if replaces || s.places() < s.limits.AdapterSlots && s.fits(name) {
		return s.order(Load, name), true
	}

	victim, ok := s.victim()
	if !ok {
		return Order{}, false
	}

	invariant.Check(s.held[victim].users == 0, "schedule.evict", "adapter %s is in use", victim.Name)

	s.held[victim].leaving = true

	return s.order(Unload, victim), true
}

func (s *Scheduler) order(kind OrderKind, name Adapter) Order {
	return Order{Kind: kind, Adapter: name, ExpectedOrders: s.report.Orders}
}

// places counts the adapters that the server holds or fetches.
func (s *Scheduler) places() int {
	count := 0

	for _, found := range s.held {
		if found.version > 0 || found.loading {
			count++
		}
	}

	return count
}

// fits reports whether one more adapter fits into the capacity for weights.
func (s *Scheduler) fits(name Adapter) bool {
	sizes := map[string]Model{}
	for _, model := range s.limits.Models {
		sizes[model.Name] = model
	}

	used := sizes[name.Model].AdapterMB
	for _, loaded := range s.report.Models {
		used += sizes[loaded.Name].SizeMB
	}

	for other, found := range s.held {
		if found.version > 0 || found.loading {
			used += sizes[other.Model].AdapterMB
		}
	}

	return used <= s.limits.CapacityMB
}

// victim returns the least recently used adapter that no request uses or waits for; names decide between equals.
func (s *Scheduler) victim() (Adapter, bool) {
	wanted := map[Adapter]bool{}
	for _, ticket := range s.queue {
		wanted[ticket.Adapter] = true
	}

	var (
		oldest Adapter
		chosen *adapter
	)

	for name, found := range s.held {
		if found.users > 0 || found.loading || found.version == 0 || wanted[name] {
			continue
		}

		if chosen == nil || found.used.Before(chosen.used) || found.used.Equal(chosen.used) && name.Name < oldest.Name {
			oldest, chosen = name, found
		}
	}

	return oldest, chosen != nil
}

// Sent takes the outcome of an order. After Unknown and Rejected nothing is known until the next report.
func (s *Scheduler) RecordOutcome(now time.Time, order Order, outcome Outcome) {
	switch outcome {
	case Accepted, Holds:
		s.accepted(now, order, outcome)
	case Rejected, Unknown:
		s.pause = now.Add(orderPause)
	}
}

func (s *Scheduler) accepted(now time.Time, order Order, outcome Outcome) {
	s.report.Orders++

	switch {
	case order.Adapter.Name == "":
		s.report.ModelLoading = outcome == Accepted
	case order.Kind == Load:
		found := s.adapter(order.Adapter)
		_, near := s.recent[order.Adapter]
		found.loading = outcome == Accepted
		found.fetched = !near
		found.since = now
		found.used = now
		s.remember(now, order.Adapter)
		invariant.Check(found.version > 0 || s.places() <= s.limits.AdapterSlots, "schedule.places", "%d adapters are held or in transit", s.places())
	default:
		delete(s.held, order.Adapter)
	}
}

// Loading reports whether a load is in progress.
func (s *Scheduler) Loading() bool {
	for _, found := range s.held {
		if found.loading {
			return true
		}
	}

	return s.report.ModelLoading
}
