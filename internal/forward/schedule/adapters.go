package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

// Observe updates the scheduler with a report of the server. A new start time means that the server has restarted and holds
// nothing.
func (s *Scheduler) Observe(now time.Time, report Report) {
	if report.StartedAt != s.report.StartedAt {
		s.limiter = throttle.Limiter{}
		s.keepStrays()
	}

	if report.StartedAt != s.report.StartedAt || s.adapters == nil {
		s.adapters = map[Adapter]*adapterState{}
		s.cached = map[Adapter]time.Time{}
	}

	s.report = report
	s.reachable = true
	s.ObserveNotice(now, report.Notice)

	loaded := map[Adapter]int64{}

	for _, model := range report.Models {
		for _, resident := range model.Adapters {
			loaded[resident.Adapter] = resident.Version
		}
	}

	for adapter, version := range loaded {
		found := s.ensureAdapter(adapter)
		found.loading = found.loading && found.version == version && now.Sub(found.loadingSince) < loadTimeout
		found.version = version
		found.unloading = false
	}

	for _, reported := range report.Loading {
		found := s.ensureAdapter(reported.Adapter)
		if !found.loading {
			found.loading = true
			found.loadingSince = now
		}
	}

	maps.DeleteFunc(s.adapters, func(adapter Adapter, found *adapterState) bool {
		if _, ok := loaded[adapter]; ok {
			return false
		}

		found.version = 0
		loadExpected := found.loading && (now.Sub(found.loadingSince) < loadTimeout || reportedLoading(report, adapter))

		return !loadExpected && found.users == 0
	})
}

func reportedLoading(report Report, adapter Adapter) bool {
	return slices.ContainsFunc(report.Loading, func(reported AdapterVersion) bool { return reported.Adapter == adapter })
}

// BlockLoading keeps the adapters that are being loaded from being loaded again for blockedLoadTime; it is called when the server has
// ended. Requests for them are refused, and go to other servers.
func (s *Scheduler) BlockLoading(now time.Time) {
	maps.DeleteFunc(s.blockedLoads, func(_ Adapter, until time.Time) bool { return now.After(until) })

	for adapter, found := range s.adapters {
		if !found.loading {
			continue
		}

		if s.blockedLoads == nil {
			s.blockedLoads = map[Adapter]time.Time{}
		}

		s.blockedLoads[adapter] = now.Add(blockedLoadTime)
	}
}

// MarkUnreachable prevents the start of requests and the sending of orders until the next report.
func (s *Scheduler) MarkUnreachable() {
	s.reachable = false
}

func (s *Scheduler) ensureAdapter(adapter Adapter) *adapterState {
	found := s.adapters[adapter]
	if found == nil {
		found = &adapterState{}
		s.adapters[adapter] = found
	}

	return found
}

// NextOrder returns the next order for the server; false if none is to be sent. An order counts as a request for the limit that the
// server has named.
func (s *Scheduler) NextOrder(now time.Time) (Order, bool) {
	order, ok := s.nextOrder(now)

	return order, ok && s.limiter.Take(now, 0)
}

// nextOrder returns the next order, whatever limit the server has named.
func (s *Scheduler) nextOrder(now time.Time) (Order, bool) {
	if !s.reachable || !s.Configured() || s.report.ModelLoading || s.resting || s.draining() || now.Before(s.noOrdersBefore) {
		return Order{}, false
	}

	if order, ok := s.modelOrder(); ok {
		return order, true
	}

	for _, next := range s.plan(now) {
		request := next.request
		if next.infeasible || !s.needsLoad(request) || s.activeFetches() >= s.policy().MaxFetches && !s.canLoadFromCache(request) {
			continue
		}

		return s.adapterOrder(now, request.Adapter)
	}

	return Order{}, false
}

// needsLoad reports whether the adapter of the request must be loaded and its load can be ordered now: the model is loaded, no
// running request uses an older version of the adapter, and the adapter is not being loaded already.
func (s *Scheduler) needsLoad(request *Request) bool {
	if s.isLoaded(request) || request.Adapter.Name == "" || !s.modelLoaded(request.Adapter.Model) || s.blockedByOlderVersion(request) {
		return false
	}

	found := s.adapters[request.Adapter]

	return found == nil || !found.loading
}

// canLoadFromCache reports whether the load needs no fetch from the weight store: the server is assumed to have the adapter in
// its cache, and the request accepts any version.
func (s *Scheduler) canLoadFromCache(request *Request) bool {
	_, ok := s.cached[request.Adapter]

	return ok && request.MinVersion == 0
}

// activeFetches counts the adapters that are being fetched from the weight store.
func (s *Scheduler) activeFetches() int {
	count := 0

	for _, found := range s.adapters {
		if found.loading && found.fromStore {
			count++
		}
	}

	return count
}

// markCached records that an adapter is in the server's cache, and removes the least recently used ones beyond maxCached.
func (s *Scheduler) markCached(now time.Time, adapter Adapter) {
	s.cached[adapter] = now

	for len(s.cached) > maxCached {
		var oldest Adapter

		for other, used := range s.cached {
			first := s.cached[oldest]
			if oldest.Name == "" || used.Before(first) || used.Equal(first) && other.Name < oldest.Name {
				oldest = other
			}
		}

		delete(s.cached, oldest)
	}
}

// modelOrder loads a model into a server that holds none: the first one that a request waits for, else the first configured
// one.
func (s *Scheduler) modelOrder() (Order, bool) {
	if len(s.report.Models) > 0 {
		return Order{}, false
	}

	selected := s.limits.Models[0]

	for _, request := range s.queue {
		index := slices.IndexFunc(s.limits.Models, func(model Model) bool { return model.Name == request.Adapter.Model })
		if index >= 0 {
			selected = s.limits.Models[index]
			break
		}
	}

	if selected.WeightsMB > s.limits.CapacityMB {
		return Order{}, false
	}

	return s.newOrder(Load, Adapter{Model: selected.Name}), true
}

// adapterOrder returns the order to load the adapter, or to unload another one first if there is no space for it; false if
// neither is possible.
func (s *Scheduler) adapterOrder(now time.Time, adapter Adapter) (Order, bool) {
	loading := 0

	for _, found := range s.adapters {
		if found.loading {
			loading++
		}
	}

	if loading >= maxLoading {
		return Order{}, false
	}

	replaces := s.adapters[adapter] != nil && s.adapters[adapter].version > 0
	if replaces || s.usedAdapterSlots()+s.reservedSlots(now) < s.limits.AdapterSlots && s.fits(adapter) {
		return s.newOrder(Load, adapter), true
	}

	candidate, ok := s.unloadCandidate()
	if !ok {
		return Order{}, false
	}

	invariant.Check(s.adapters[candidate].users == 0, "schedule.evict", "adapter %s is in use", candidate.Name)

	s.adapters[candidate].unloading = true

	return s.newOrder(Unload, candidate), true
}

func (s *Scheduler) newOrder(kind OrderKind, adapter Adapter) Order {
	return Order{Kind: kind, Adapter: adapter, ExpectedOrders: s.report.Orders}
}

// usedAdapterSlots counts the adapters that are loaded or being loaded.
func (s *Scheduler) usedAdapterSlots() int {
	count := 0

	for _, found := range s.adapters {
		if found.version > 0 || found.loading {
			count++
		}
	}

	return count
}

// fits reports whether one more adapter fits into the weight capacity of the server.
func (s *Scheduler) fits(adapter Adapter) bool {
	sizes := map[string]Model{}
	for _, model := range s.limits.Models {
		sizes[model.Name] = model
	}

	used := sizes[adapter.Model].AdapterMB
	for _, loaded := range s.report.Models {
		used += sizes[loaded.Name].WeightsMB
	}

	for other, found := range s.adapters {
		if found.version > 0 || found.loading {
			used += sizes[other.Model].AdapterMB
		}
	}

	return used <= s.limits.CapacityMB
}

// unloadCandidate returns the least recently used adapter that no request uses or waits for; the lowest name wins a tie.
func (s *Scheduler) unloadCandidate() (Adapter, bool) {
	wanted := map[Adapter]bool{}
	for _, request := range s.queue {
		wanted[request.Adapter] = true
	}

	var (
		oldest Adapter
		chosen *adapterState
	)

	for adapter, found := range s.adapters {
		if found.users > 0 || found.loading || found.version == 0 || wanted[adapter] {
			continue
		}

		if chosen == nil || found.lastUsed.Before(chosen.lastUsed) || found.lastUsed.Equal(chosen.lastUsed) && adapter.Name < oldest.Name {
			oldest, chosen = adapter, found
		}
	}

	return oldest, chosen != nil
}

// RecordOutcome applies the outcome of an order. After Unknown and Rejected no order is sent for orderRetryDelay.
func (s *Scheduler) RecordOutcome(now time.Time, order Order, outcome Outcome) {
	switch outcome {
	case Accepted, Unneeded:
		s.applyAccepted(now, order, outcome)
	case Unknown:
		s.recordUnanswered(now, order)
		s.noOrdersBefore = now.Add(orderRetryDelay)
	case Rejected:
		s.noOrdersBefore = now.Add(orderRetryDelay)
	}
}

func (s *Scheduler) applyAccepted(now time.Time, order Order, outcome Outcome) {
	s.report.Orders++

	switch {
	case order.Adapter.Name == "":
		s.report.ModelLoading = outcome == Accepted
	case order.Kind == Load:
		found := s.ensureAdapter(order.Adapter)
		_, wasCached := s.cached[order.Adapter]
		found.loading = outcome == Accepted
		found.fromStore = !wasCached
		found.loadingSince = now
		found.lastUsed = now
		s.markCached(now, order.Adapter)
		invariant.Check(found.version > 0 || s.usedAdapterSlots() <= s.limits.AdapterSlots, "schedule.places", "%d adapters are loaded or being loaded, more than the server has slots for", s.usedAdapterSlots())
	default:
		delete(s.adapters, order.Adapter)
	}
}

// Loading reports whether a model or an adapter is being loaded.
func (s *Scheduler) Loading() bool {
	for _, found := range s.adapters {
		if found.loading {
			return true
		}
	}

	return s.report.ModelLoading
}
