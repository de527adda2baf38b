// Package agent implements the agent, a process on the VM of each model server. It alone sends the server's orders to load
// and unload adapters, and all requests to the server pass through it.
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
	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/agreement"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/notice"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

const (
	// reportPeriod is the time between two reports of the model server, and loadingReportPeriod while it loads an adapter.
	reportPeriod        = 200 * time.Millisecond
	loadingReportPeriod = 15 * time.Millisecond
	// reportTimeout limits the request for a report; it is short because the server is on the same VM.
	reportTimeout = 500 * time.Millisecond
	// orderTimeout limits the wait for the response to an order. After a timeout, the next report shows whether the order was
	// accepted.
	orderTimeout = 500 * time.Millisecond
	// drainQuiet is how long no request must have arrived before a process in shutdown ends: entries may have sent others already. It
	// checks every drainPollPeriod.
	drainQuiet      = 500 * time.Millisecond
	drainPollPeriod = 50 * time.Millisecond
	// sweepPeriod is the time between two sweeps of idle connections that the server has closed.
	sweepPeriod = time.Second
)

// Engine is the model server on the same VM.
type Engine interface {
	// Report returns the current state of the server.
	Report(ctx context.Context) (schedule.Report, error)
	// Order sends an order once. The order does not name the server by id, since a server that has just restarted is listed
	// under its new id only later; it is meant for the server that sent the latest report.
	Order(ctx context.Context, order schedule.Order) (schedule.Outcome, error)
}

// Agent serves the requests to one model server. Its exported fields are set before Run.
type Agent struct {
	Engine   Engine
	Upstream *upstream.Client
	// Address is the address of the model server.
	Address string
	// Listener accepts the connections of entries.
	Listener net.Listener
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
	// BodyMemory bounds the bytes of the bodies of all requests that wait or run; those beyond it are refused. 0 is no bound.
	BodyMemory int64
	// DrainTimeout is how long running requests may take to finish during shutdown.
	DrainTimeout time.Duration

	mu        sync.Mutex
	scheduler schedule.Scheduler
	// waiters holds the requests for which a decision is awaited.
	waiters map[*schedule.Request]*waiter
	// configVersion is the newest configuration version received from an entry.
	configVersion int64
	// operator and servers hold the latest confirmations that entries have published.
	operator, servers progress.Latest
	// followers counts the entries by the list of servers that they follow, and divided is true if they follow several.
	followers agreement.Followers
	divided   bool
	accounts  quota.Holder
	// limits holds the limits of servers of plain services that have this agent as their holder.
	limits throttle.Holder
	// monitor recognizes which requests may have ended the model server, and startedAt is the start of that server in its latest
	// report; 0 before the first one.
	monitor   quarantine.Monitor
	startedAt int64
	// origins remembers where the streams of this agent's model server began, and those that entries have recorded.
	origins origin.Records
	// history holds the software versions of the servers of the service, as entries know them.
	history origin.History
	// usage holds what entries have counted for usage reports.
	usage usage.Records
	// ended is true from the end of the model server until it is recorded which responses it has broken off.
	ended bool
	// exchanges holds the requests whose outcome has not been sent yet.
	exchanges map[*activeExchange]bool
	// lastArrival is when the latest request arrived.
	lastArrival time.Time
	// bodyBytes is the size of the bodies of the requests that wait or run.
	bodyBytes int64
	// watchers holds the entries that watch the state.
	watchers map[*watcher]bool
	// notified is the state at the last urgent notification of the watchers.
	notified schedule.State
	// wake ends the wait of the control loop, and recheck makes it check the held requests earlier; the capacity of both is 1.
	wake, recheck chan struct{}
}

// Run serves until the context ends, and then until no request is under way or has arrived for drainQuiet, or DrainTimeout has passed.
func (a *Agent) Run(ctx context.Context) error {
	a.wake, a.recheck = make(chan struct{}, 1), make(chan struct{}, 1)
	a.waiters = map[*schedule.Request]*waiter{}
	a.watchers = map[*watcher]bool{}
	a.accounts.Followers, a.limits.Followers = &a.followers, &a.followers
	a.Upstream.OnNotice = a.observeNotice
	a.Upstream.OnLimit = a.observeLimit
	a.Upstream.OnLoad = a.observeLoad

	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	go a.controlLoop(serving)
	go a.drain(ctx, stop)

	err := conn.Serve(serving, a.Listener, func(mux *drpcmux.Mux) error {
		return errors.Wrap(relay.DRPCRegisterRelay(mux, a), "register relay")
	})
	if ctx.Err() != nil {
		return nil
	}

	return err
}

// drain waits for the end of the context, refuses new requests, and calls stop once no request is under way or has arrived for drainQuiet, or
// DrainTimeout has passed.
func (a *Agent) drain(ctx context.Context, stop context.CancelFunc) {
	<-ctx.Done()

	signal := time.Now()

	a.mu.Lock()
	a.scheduler.Close()
	a.dispatch()
	a.notifyWatchers()
	active := len(a.exchanges)
	a.mu.Unlock()
	a.Log.WithField("left", a.DrainTimeout.Milliseconds()).WithField("active", active).Info("process is stopping")

	// The state tells entries to send no more requests.
	for drainDeadline := signal.Add(a.DrainTimeout); time.Now().Before(drainDeadline) && !a.isQuiet(signal); {
		time.Sleep(drainPollPeriod)
	}

	a.Log.WithField("cut", a.reportCutOff(signal)).Info("process stopped")
	stop()
}

// isQuiet reports whether no request is under way, and none has arrived for drainQuiet since the signal.
func (a *Agent) isQuiet(signal time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return len(a.exchanges) == 0 && time.Since(signal) >= drainQuiet && time.Since(a.lastArrival) >= drainQuiet
}

// controlLoop polls the reports of the model server, sends orders and dispatches requests, one step at a time.
func (a *Agent) controlLoop(ctx context.Context) {
	lastSweep := time.Now()

	for ctx.Err() == nil {
		a.refreshReport(ctx)

		for a.sendOrder(ctx) {
			a.refreshReport(ctx)
		}

		if time.Since(lastSweep) > sweepPeriod {
			lastSweep = time.Now()
			a.Upstream.Sweep(lastSweep)
		}

		a.waitForWork(ctx)
	}
}

// observeNotice records a notice in a response of the model server.
func (a *Agent) observeNotice(_ string, n notice.Notice) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.scheduler.ObserveNotice(time.Now(), n)
	a.Log.WithField("leaving", n.Leaving).WithField("rest", n.Rest.Milliseconds()).Info("model server stated whether it takes requests")
	a.dispatch()
	a.notifyWatchers()
}

// observeLoad records the load that the model server has stated in a response.
func (a *Agent) observeLoad(_ string, load upstream.Load) {
	if load.Slowness <= 0 {
		return
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	a.scheduler.ObserveSlowness(time.Now(), load.Slowness)

	for w := range a.watchers {
		notify(w.changed)
	}
}

// isResting reports whether the model server has asked to get nothing for a while.
func (a *Agent) isResting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.scheduler.RestLeft(time.Now()) > 0
}

// refreshReport gets a report from the model server and dispatches the requests that can start after it. A server that has asked
// to get nothing for a while is not called.
func (a *Agent) refreshReport(ctx context.Context) {
	if a.isResting() {
		return
	}

	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()

	sentAt := time.Now()
	report, err := a.Engine.Report(bounded)

	a.mu.Lock()
	defer a.mu.Unlock()

	a.observeEnd(&report, err)

	before := a.scheduler.State(time.Now()).Ready

	if err != nil {
		a.scheduler.MarkUnreachable()
		a.scheduler.ObserveNotice(time.Now(), report.Notice)
	} else {
		a.scheduler.Observe(time.Now(), report)
	}

	if report.Limit.Named {
		a.recordLimit(sentAt, report.Limit)
	}

	if after := a.scheduler.State(time.Now()).Ready; after != before {
		a.Log.WithField("ready", after).WithField("leaving", report.Draining).WithField("born", report.StartedAt).WithError(err).Info("model server state changed")
	}

	a.dispatch()
	a.notifyWatchers()
}

// sendOrder sends the next order and reports whether there was one.
func (a *Agent) sendOrder(ctx context.Context) bool {
	a.mu.Lock()
	order, ok := a.scheduler.NextOrder(time.Now())
	a.mu.Unlock()

	if !ok {
		return false
	}

	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	sentAt := time.Now()
	outcome, err := a.Engine.Order(bounded, order)

	metric.Count(a.Metrics, "order."+order.Kind.String()+"."+outcome.String())
	a.Log.WithFields(logrus.Fields{
		"order": order.Kind.String(), "adapter": order.Adapter.Name, "model": order.Adapter.Model, "expected": order.ExpectedOrders, "outcome": outcome.String(),
	}).WithError(err).Info("order sent")

	a.mu.Lock()
	defer a.mu.Unlock()

	a.scheduler.RecordOutcome(time.Now(), order, outcome)

	if order.Kind == schedule.Load && order.Adapter.Name != "" && (outcome == schedule.Accepted || outcome == schedule.Unknown) {
		a.monitor.RecordLoad(sentAt, quarantine.AdapterSubject(order.Adapter.Model, order.Adapter.Name))
	}

	return true
}

// dispatch delivers the scheduler's decisions to the waiting requests. The lock must be held.
func (a *Agent) dispatch() {
	for _, action := range a.scheduler.Dispatch(time.Now()) {
		var scheduled *schedule.Request

		switch decided := action.(type) {
		case schedule.Start:
			scheduled = decided.Request
		case schedule.Refuse:
			scheduled = decided.Request

			if decided.Early {
				metric.Count(a.Metrics, "queue.refused.early")
			}
		}

		a.countQueued(scheduled)

		a.deliver(scheduled, action)
	}
}

// countQueued counts whether a request that leaves the queue was displaced or held in it.
func (a *Agent) countQueued(scheduled *schedule.Request) {
	if scheduled.Displaced {
		metric.Count(a.Metrics, "queue.displaced")
	}

	if scheduled.Held() {
		metric.Count(a.Metrics, "prompt.held")
	}
}

// waitForWork waits until the next report or decision is due or wakeControl is called. Meanwhile it dispatches requests that are held, which
// needs no report.
func (a *Agent) waitForWork(ctx context.Context) {
	a.mu.Lock()
	period := reportPeriod

	if a.scheduler.Loading() {
		period = loadingReportPeriod
	}

	if next, ok := a.scheduler.NextWakeup(); ok {
		period = min(period, max(time.Until(next), time.Millisecond))
	}

	a.mu.Unlock()

	for end := time.Now().Add(period); a.waitUntil(ctx, end); {
		a.mu.Lock()
		a.dispatch()
		a.notifyWatchers()
		a.mu.Unlock()
	}
}

// waitUntil waits until the end, or until held requests are to be dispatched before it, which it reports.
func (a *Agent) waitUntil(ctx context.Context, end time.Time) bool {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()

	for {
		at, held := a.heldUntil()
		held = held && at.Before(end)

		if held {
			timer.Reset(max(time.Until(at), time.Millisecond))
		}

		select {
		case <-ctx.Done():
			return false
		case <-a.wake:
			return false
		case <-timer.C:
			return held
		case <-a.recheck:
		}
	}
}

func (a *Agent) heldUntil() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.scheduler.HeldUntil()
}

// wakeControl makes the control loop run at once.
func (a *Agent) wakeControl() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
