package schedule

import (
	"slices"
	"time"
)

// lateOrderTime is how long after an order that got no answer the server may still carry it out, also if it has started again since.
const lateOrderTime = 13 * time.Second

// strayOrder is an order to load an adapter that got no answer.
type strayOrder struct {
	order  Order
	sentAt time.Time
}

// recordUnanswered records an order that got no answer.
func (s *Scheduler) recordUnanswered(now time.Time, order Order) {
	if order.Kind == Load && order.Adapter.Name != "" {
		s.unanswered = append(s.unanswered, strayOrder{order: order, sentAt: now})
	}
}

// keepStrays makes the unanswered orders those to an earlier process. Within one process they need no space: the server checks the
// number of accepted orders, so that either the late order or a later one is carried out.
func (s *Scheduler) keepStrays() {
	s.strays = append(s.strays, s.unanswered...)
	s.unanswered = nil
}

// reservedSlots returns the number of adapter slots that orders to earlier processes of the server may take: an order is carried out when
// the server has accepted as many orders as it names.
func (s *Scheduler) reservedSlots(now time.Time) int {
	expired := func(stray strayOrder) bool { return now.Sub(stray.sentAt) > lateOrderTime }
	s.strays = slices.DeleteFunc(s.strays, expired)
	s.unanswered = slices.DeleteFunc(s.unanswered, expired)

	counts := map[int64]bool{}

	for _, stray := range s.strays {
		held := s.adapters[stray.order.Adapter]
		present := held != nil && (held.version > 0 || held.loading)

		if !present && stray.order.ExpectedOrders >= s.report.Orders {
			counts[stray.order.ExpectedOrders] = true
		}
	}

	return len(counts)
}
