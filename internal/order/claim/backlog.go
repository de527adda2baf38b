package claim

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// flushInterval is the time between two attempts to store the outcomes in the backlog.
	flushInterval = time.Second
	// maxBacklog bounds the outcomes in the backlog. An outcome beyond it is discarded, and the next call with its key queries
	// the agent process.
	maxBacklog = 10_000
)

var backlogGauge = metrics.GetOrRegisterGauge("order.late", metrics.DefaultRegistry)

// outcomeBacklog holds outcomes that could not be stored yet. The zero value is empty and ready to use.
type outcomeBacklog struct {
	mu    sync.Mutex
	items []backlogItem
}

// backlogItem is a row with its outcome, and the execution that writes it.
type backlogItem struct {
	execution *execution
	finalRow  *Row
}

func (b *outcomeBacklog) add(e *execution, finalRow *Row) {
	b.mu.Lock()
	defer b.mu.Unlock()

	logrus.WithFields(logrus.Fields{"component": "claim", "request": e.request.ID}).
		Warn("failed to store the outcome; will retry")

	if len(b.items) < maxBacklog {
		b.items = append(b.items, backlogItem{execution: &execution{executor: e.executor, rowKey: e.rowKey, request: e.request, call: e.call, row: e.row, version: e.version}, finalRow: finalRow})
	}

	backlogGauge.Update(int64(len(b.items)))
}

// takeAll removes and returns all items.
func (b *outcomeBacklog) takeAll() []backlogItem {
	b.mu.Lock()
	defer b.mu.Unlock()

	items := b.items
	b.items = nil

	return items
}

// requeue puts items back in front of those added meanwhile.
func (b *outcomeBacklog) requeue(items []backlogItem) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.items = append(items, b.items...)
	backlogGauge.Update(int64(len(b.items)))
}

// Run stores the outcomes in the backlog until the context ends; then it makes a last attempt.
func (x *Executor) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			x.flushBacklog(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			x.flushBacklog(ctx)
		}
	}
}

// flushBacklog stores the outcomes in order, and stops at the first failure, because the table is still unavailable then.
func (x *Executor) flushBacklog(ctx context.Context) {
	items := x.backlog.takeAll()

	for i, item := range items {
		if !item.execution.storeOutcome(ctx, item.finalRow) {
			x.backlog.requeue(items[i:])
			return
		}
	}

	x.backlog.requeue(nil)
}
