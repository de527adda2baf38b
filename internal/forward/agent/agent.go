// Package agent is the process beside a model server: the only sender of its orders and the path of its requests.
package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

const (
	// reportPeriod is the time between two reports of an idle server, and loadPeriod while it loads an adapter.
	reportPeriod = 200 * time.Millisecond
	loadPeriod   = 15 * time.Millisecond
	// reportTimeout bounds a report; the server is on the same VM.
	reportTimeout = 500 * time.Millisecond
	// orderTimeout bounds the wait for the answer to an order; the next report tells whether it was accepted.
	orderTimeout = 500 * time.Millisecond
	// drainDelay is how long a process that is to end waits for the requests that entries have already sent, and drainPoll
	// the time between two looks at running requests.
	drainDelay = 500 * time.Millisecond
	drainPoll  = 50 * time.Millisecond
	// sweepPeriod is the time between two searches for unused connections that the server has closed.
	sweepPeriod = time.Second
)

// Engine is the model server on the same VM.
type Engine interface {
	// Report asks the server for its state.
	Report(ctx context.Context) (schedule.Report, error)
	// Order sends an order once. It goes to whatever server the last report came from: a server that has just started is
	// listed under its new id only later.
	Order(ctx context.Context, order schedule.Order) (schedule.Outcome, error)
}

// Agent is the process beside a model server. Its exported fields are set before Run.
type Agent struct {
	Engine   Engine
	Upstream *upstream.Client
	// Address is the address of the model server.
	Address string
	// Listener takes the connections of entries.
	Listener net.Listener
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
	// DrainTimeout is how long running requests may take to finish during shutdown.
	DrainTimeout time.Duration

	mu        sync.Mutex
	scheduler schedule.Scheduler
	// waiters are told the decision on a request.
	waiters map[*schedule.Request]chan schedule.Action
	// version is the newest one of the configuration that an entry has stated.
	version int64
	// confirmed is when the store last confirmed that version to an entry, on freshness.Clock, and known that it did.
	confirmed time.Duration
	known     bool
	accounts  quota.Holder
	// watchers are woken when the state changes.
	watchers map[chan struct{}]bool
	// wake ends the pause of the control loop.
	wake chan struct{}
}

// Run serves until the context ends and running requests are finished.
func (a *Agent) Run(ctx context.Context) error {
	a.wake = make(chan struct{}, 1)
	a.waiters = map[*schedule.Request]chan schedule.Action{}
	a.watchers = map[chan struct{}]bool{}

	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	go a.control(serving)
	go a.drain(ctx, stop)

	err := conn.Serve(serving, a.Listener, func(mux *drpcmux.Mux) error {
		return errors.Wrap(relay.DRPCRegisterRelay(mux, a), "register relay")
	})
	if ctx.Err() != nil {
		return nil
	}

	return err
}

// drain waits for the end of the context, refuses new requests, and stops the process once running requests are finished.
func (a *Agent) drain(ctx context.Context, stop context.CancelFunc) {
	<-ctx.Done()

	a.mu.Lock()
	a.scheduler.Close()
	a.advance()
	a.notify()
	a.mu.Unlock()
	a.Log.Info("process is stopping")

	// Entries learn from the state that they are to send no more.
	end := time.Now().Add(a.DrainTimeout)
	time.Sleep(drainDelay)

	for time.Now().Before(end) && a.running() > 0 {
		time.Sleep(drainPoll)
	}

	a.Log.WithField("running", a.running()).Info("process stopped")
	stop()
}

func (a *Agent) running() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.scheduler.State().Running
}

// control reads reports, sends orders and starts requests, one step after the other.
func (a *Agent) control(ctx context.Context) {
	swept := time.Now()

	for ctx.Err() == nil {
		a.refresh(ctx)

		for a.orderOnce(ctx) {
			a.refresh(ctx)
		}

		if time.Since(swept) > sweepPeriod {
			swept = time.Now()
			a.Upstream.Sweep(swept)
		}

		a.pause(ctx)
	}
}

func (a *Agent) refresh(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()

	report, err := a.Engine.Report(bounded)

	a.mu.Lock()
	defer a.mu.Unlock()

	before := a.scheduler.State().Ready

	if err != nil {
		a.scheduler.ServerUnreachable()
	} else {
		a.scheduler.Observe(time.Now(), report)
	}

	if after := a.scheduler.State().Ready; after != before {
		a.Log.WithField("ready", after).WithField("leaving", report.Draining).WithField("born", report.StartedAt).WithError(err).Info("model server state changed")
	}

	a.advance()
	a.notify()
}

// orderOnce sends the next order, if any.
func (a *Agent) orderOnce(ctx context.Context) bool {
	a.mu.Lock()
	order, ok := a.scheduler.NextOrder(time.Now())
	a.mu.Unlock()

	if !ok {
		return false
	}

	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	outcome, err := a.Engine.Order(bounded, order)

	metric.Count(a.Metrics, "order."+order.Kind.String()+"."+outcome.String())
	a.Log.WithFields(logrus.Fields{
		"order": order.Kind.String(), "adapter": order.Adapter.Name, "model": order.Adapter.Model, "expected": order.ExpectedOrders, "outcome": outcome.String(),
	}).WithError(err).Info("order sent")

	a.mu.Lock()
	defer a.mu.Unlock()

	a.scheduler.RecordOutcome(time.Now(), order, outcome)

	return true
}

// advance carries out the decisions on waiting requests. The lock must be held.
func (a *Agent) advance() {
	for _, action := range a.scheduler.Dispatch(time.Now()) {
		var ticket *schedule.Request

		switch decided := action.(type) {
		case schedule.Start:
			ticket = decided.Request
		case schedule.Refuse:
			ticket = decided.Request
		}

		if waiter := a.waiters[ticket]; waiter != nil {
			waiter <- action
		}
	}
}

// pause waits until the next report is due or a request needs an adapter.
func (a *Agent) pause(ctx context.Context) {
	a.mu.Lock()
	period := reportPeriod

	if a.scheduler.Loading() {
		period = loadPeriod
	}

	if next, ok := a.scheduler.NextWakeup(); ok {
		period = min(period, max(time.Until(next), time.Millisecond))
	}

	a.mu.Unlock()

	timer := time.NewTimer(period)
	defer timer.Stop()

	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.wake:
	}
}

func (a *Agent) poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// notify wakes the watchers. The lock must be held.
func (a *Agent) notify() {
	for watcher := range a.watchers {
		select {
		case watcher <- struct{}{}:
		default:
		}
	}
}
