package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// maxCutOffLines is the number of requests cut off at the end of the process that are logged one by one; the rest is counted.
const maxCutOffLines = 50

// activeExchange is a request whose outcome has not been sent to its entry yet. Its fields are protected by the lock of the agent.
type activeExchange struct {
	delivery *message.Delivery
	arrived  time.Time
	// sent is true once the request was sent to the model server, and begun once its response has begun.
	sent, begun bool
}

func (a *Agent) beginExchange(delivery *message.Delivery, arrived time.Time) *activeExchange {
	a.mu.Lock()
	defer a.mu.Unlock()

	exchange := &activeExchange{delivery: delivery, arrived: arrived}

	if a.exchanges == nil {
		a.exchanges = map[*activeExchange]bool{}
	}

	a.exchanges[exchange] = true
	a.lastArrival = arrived

	return exchange
}

func (a *Agent) endExchange(exchange *activeExchange) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.exchanges, exchange)
}

// setProgress records that the request was sent to the model server, and whether its response has begun.
func (a *Agent) setProgress(exchange *activeExchange, begun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	exchange.sent, exchange.begun = true, begun
}

// reportCutOff logs and counts the requests that the end of the process cuts off, the latest first, and returns their number. The process was
// told to stop at the time of the signal.
func (a *Agent) reportCutOff(signal time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()

	cut := make([]*activeExchange, 0, len(a.exchanges))
	for exchange := range a.exchanges {
		cut = append(cut, exchange)
	}

	slices.SortFunc(cut, func(x, y *activeExchange) int {
		return cmp.Or(y.arrived.Compare(x.arrived), cmp.Compare(x.delivery.ID, y.delivery.ID))
	})

	for i, exchange := range cut {
		metric.Count(a.Metrics, "request.cut")

		if i >= maxCutOffLines {
			continue
		}

		a.Log.WithFields(logrus.Fields{
			"request": exchange.delivery.ID, "took": time.Since(exchange.arrived).Milliseconds(), "since": exchange.arrived.Sub(signal).Milliseconds(),
			"server": exchange.delivery.Instance, "sent": exchange.sent, "begun": exchange.begun,
		}).Warn("request cut off")
	}

	return len(cut)
}
