package claim

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// lateInterval is the time between two tries to store outcomes that the table did not take.
	lateInterval = time.Second
	// mostLate bounds the outcomes that are kept for later; beyond it, the next call asks the agent process.
	mostLate = 10_000
)

var lateGauge = metrics.GetOrRegisterGauge("order.late", metrics.DefaultRegistry)

// late holds outcomes that could not be stored yet. The zero value is empty and ready.
type late struct {
	mu    sync.Mutex
	items []lateItem
}

type lateItem struct {
	order *order
	final *Row
}

func (l *late) add(o *order, final *Row) {
	l.mu.Lock()
	defer l.mu.Unlock()

	logrus.WithFields(logrus.Fields{"component": "claim", "request": o.request.ID}).
		Warn("the outcome could not be stored; it is kept for later")

	if len(l.items) < mostLate {
		l.items = append(l.items, lateItem{order: &order{claims: o.claims, rowKey: o.rowKey, request: o.request, call: o.call, row: o.row, version: o.version}, final: final})
	}

	lateGauge.Update(int64(len(l.items)))
}

func (l *late) take() []lateItem {
	l.mu.Lock()
	defer l.mu.Unlock()

	items := l.items
	l.items = nil

	return items
}

func (l *late) back(items []lateItem) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.items = append(items, l.items...)
	lateGauge.Update(int64(len(l.items)))
}

// Run stores outcomes that the table did not take at first, until the context ends; then it tries once more.
func (c *Executor) Run(ctx context.Context) error {
	ticker := time.NewTicker(lateInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			c.storeLate(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			c.storeLate(ctx)
		}
	}
}

// storeLate tries each outcome in order, and stops at the first that fails, because the table is then still down.
func (c *Executor) storeLate(ctx context.Context) {
	items := c.late.take()

	for i, item := range items {
		if !item.order.store(ctx, item.final) {
			c.late.back(items[i:])
			return
		}
	}

	c.late.back(nil)
}
