package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
)

const (
	// usageSubject is the subject of the usage reports: all windows together.
	usageSubject = "usage_report"
	// callTimeout limits a call to the platform, and minCallTime is the time that must be left for one. callMargin is the time between the end
	// of a call and the earliest expiry of the lease.
	callTimeout = 2 * time.Second
	minCallTime = 200 * time.Millisecond
	callMargin  = 200 * time.Millisecond
	// reportRetry is the time before a report is sent again, and rateShare the part of the rate of calls that one duty may use at all its holders
	// together. The scaling orders of all subjects are one duty.
	reportRetry = 500 * time.Millisecond
	rateShare   = 0.5
	// readRetry is the time before agents are asked again for counts that are not complete, and fixReserve the time before a report is due from
	// which it is fixed as it is: it allows for a write, a read of its outcome and the call.
	readRetry  = time.Second
	fixReserve = lease.WriteTimeout + storeTimeout + callTimeout
	// roleCheckPeriod is the time between two checks whether this entry may hold the duty.
	roleCheckPeriod = 500 * time.Millisecond
	// fieldWindow is the name of a log field.
	fieldWindow = "window"
)

// Tallies reads what other entries have counted.
type Tallies interface {
	// Read returns what processes have counted in a window, as far as agents have answered, and whether these know the counts of all entries.
	Read(ctx context.Context, window int64) (tallies []usage.Tally, complete bool)
}

// UsageReporter makes the usage reports while it holds their lease. Its exported fields are set before Run.
type UsageReporter struct {
	Store    Store
	Platform Platform
	Tallies  Tallies
	// Counting counts the requests of this entry and knows the true time.
	Counting *Counting
	// Self is this process.
	Self lease.Holder
	// IsCandidate reports whether this entry may take the lease.
	IsCandidate func() bool
	// CanCount reports whether this entry reaches enough agents to know the counts of the other entries.
	CanCount func() bool
	// Due is the time from the end of a window until its report must have arrived, and MinTenure the time within which holders must not act in
	// the order A, B, A.
	Due, MinTenure time.Duration
	// CallRate is the number of calls per second that the platform takes from all VMs together; 0 if it is not limited.
	CallRate float64
	// FirstStart is true if the whole system has just started for the first time.
	FirstStart bool
	Log        logrus.FieldLogger
	Metrics    metrics.Registry

	subject subject
	book    usage.Book
	// startedAt is the local time of the start, and nextTry that of the next send of a report.
	startedAt, nextTry time.Duration
	// tallies holds what agents have answered about window readWindow, and readAt is the local time from which they are asked again.
	tallies    []usage.Tally
	readWindow int64
	readAt     time.Duration
}

// Run holds the duty whenever it can until the context ends, and then releases the lease.
func (r *UsageReporter) Run(ctx context.Context) {
	r.startedAt = r.Counting.Clock()
	r.book = usage.Book{Length: r.Counting.Counter.Length, Due: r.Due}
	r.subject.key, r.subject.store, r.subject.clock = usageSubject, r.Store, r.Counting.Clock
	r.subject.log, r.subject.metrics, r.subject.adopt = r.Log, r.Metrics, r.book.Adopt
	r.subject.lease = lease.Lease{Self: r.Self, MinTenure: r.MinTenure, FirstStart: r.FirstStart}

	metric.Gauge(r.Metrics, "duty.holder", func() int64 {
		if r.subject.holds() {
			return 1
		}

		return 0
	})

	for ctx.Err() == nil {
		r.step(ctx)
	}

	r.subject.release()
}

// step takes the next action of the duty, or waits until one is due.
func (r *UsageReporter) step(ctx context.Context) {
	_, known := r.Counting.Now()

	switch {
	case !known:
		r.subject.pause(ctx, clockCheckPeriod)
	case !r.CanCount():
		r.subject.release()
		r.subject.pause(ctx, roleCheckPeriod)
	case r.subject.lease.IsOwn():
		r.serve(ctx)
	case r.IsCandidate():
		r.subject.follow(ctx, r.contentToTake)
	default:
		r.subject.pause(ctx, roleCheckPeriod)
	}
}

// contentToTake returns what the row is to hold when this process takes the lease.
func (r *UsageReporter) contentToTake() lease.Content {
	now := r.now()

	if since, stale := r.subject.lease.StaleSince(); stale {
		r.book.SkipBefore(r.book.FixedUpTo(r.Counting.True(since), r.subject.lease.StaleClock()))
	}

	r.book.Start(now)

	return r.book.Content()
}

// now returns the time by which windows are fixed and given up.
func (r *UsageReporter) now() time.Duration {
	local := r.Counting.Clock()
	now, _ := r.Counting.Now()

	if earliest, latest, known := r.subject.lease.StoreClock(local); known {
		return r.book.Limit(now, earliest, latest)
	}

	return now
}

// serve takes the next action of the holder: it reads the row, fixes counts and renews the lease, or sends a report.
func (r *UsageReporter) serve(ctx context.Context) {
	now := r.now()
	local := r.Counting.Clock()
	lapsed := r.subject.lease.Left(local) == 0

	if !r.subject.lease.Known() {
		if !r.subject.read(ctx) {
			r.subject.pause(ctx, retryDelay)
		}

		return
	}

	if _, stale := r.subject.lease.StaleSince(); stale && lapsed {
		r.subject.follow(ctx, r.contentToTake)
		return
	}

	r.giveUp(now)

	untilFix := max(r.book.FixAt(now)-now, r.readAt-local)
	if renew := lapsed || local >= r.subject.lease.RenewAt(); renew || untilFix <= 0 {
		if !r.fix(ctx, now, renew) {
			r.subject.pause(ctx, retryDelay)
		}

		return
	}

	left := min(untilFix, r.subject.lease.RenewAt()-local)
	if report, ok := r.nextReport(now); ok {
		if wait := r.nextTry - local; wait > 0 {
			left = min(left, wait)
		} else if timeout := r.timeToCall(local, left); timeout > 0 {
			r.sendReport(ctx, report, timeout)
			return
		}
	}

	r.subject.pause(ctx, left)
}

// timeToCall returns how long a call may take that begins now: it ends before the lease could expire and before the next write is due. It is 0
// if there is no time for a call.
func (r *UsageReporter) timeToCall(local, left time.Duration) time.Duration {
	timeout := min(callTimeout, left, r.subject.lease.Left(local)-callMargin)
	if timeout < minCallTime {
		return 0
	}

	return timeout
}

// giveUp gives up the reports that would arrive too late.
func (r *UsageReporter) giveUp(now time.Duration) {
	if missed := r.book.Overdue(now); missed > 0 {
		r.countLate(missed)
		r.Log.WithField("windows", missed).Warn("usage windows not fixed in time")
	}

	for _, report := range r.book.ToSend() {
		if r.book.DueAt(report.Window) > now {
			continue
		}

		r.book.Done(report.Window)
		r.countLate(1)
		r.Log.WithField(fieldWindow, report.Window).Warn("usage report given up")
	}

	r.book.Forget(now)
}

func (r *UsageReporter) countLate(reports int64) {
	metrics.GetOrRegisterCounter("duty.report.late", r.Metrics).Inc(reports)
}

// nextReport returns the next report to send; false if all have arrived.
func (r *UsageReporter) nextReport(now time.Duration) (lease.Report, bool) {
	for _, report := range r.book.ToSend() {
		if r.book.DueAt(report.Window) > now {
			return report, true
		}
	}

	return lease.Report{}, false
}

// fix writes the counts of windows that have ended into the row, which also renews the lease, and reports whether the row is known to
// hold them. It writes nothing if no counts are to be fixed yet and the lease need not be renewed.
func (r *UsageReporter) fix(ctx context.Context, now time.Duration, renew bool) bool {
	var (
		fixed   []int64
		reports []lease.Report
	)

	for _, window := range r.book.ToFix(now) {
		if !r.readCounts(ctx, now, window) {
			break
		}

		fixed = append(fixed, window)

		if report, ok := r.report(window); ok {
			reports = append(reports, report)
		}
	}

	if len(fixed) == 0 && !renew {
		return true
	}

	if !r.subject.write(ctx, r.book.WithFixed(reports, fixed)) {
		return false
	}

	for _, report := range reports {
		r.Log.WithFields(logrus.Fields{fieldWindow: report.Window, "accounts": len(report.Counts), "requests": sum(report.Counts)}).Info("usage window fixed")
	}

	return true
}

// readCounts reads what other entries have counted in a window, and reports whether it is to be fixed: if the counts are complete, or the report
// would be late otherwise.
func (r *UsageReporter) readCounts(ctx context.Context, now time.Duration, window int64) bool {
	if _, ok := r.book.Proposed(window); ok {
		return true
	}

	if r.readWindow != window {
		r.readWindow, r.tallies = window, nil
	}

	tallies, complete := r.Tallies.Read(ctx, window)
	r.tallies = usage.Latest(append(r.tallies, tallies...))

	if complete {
		return true
	}

	if left := r.book.DueAt(window) - fixReserve - now; left > 0 {
		r.readAt = r.Counting.Clock() + min(readRetry, left)
		return false
	}

	metric.Count(r.Metrics, "duty.usage.partial")
	r.Log.WithField(fieldWindow, window).Warn("usage window fixed without the counts of some agents")

	return true
}

// report returns the report of a window as it is to be fixed, whose counts were read; false if the window has no requests and ended before this
// process started.
func (r *UsageReporter) report(window int64) (lease.Report, bool) {
	if report, ok := r.book.Proposed(window); ok {
		return report, true
	}

	report := lease.Report{Window: window, Counts: r.count(window)}
	if len(report.Counts) == 0 && usage.End(window, r.book.Length) <= r.Counting.True(r.startedAt) {
		return lease.Report{}, false
	}

	r.book.Propose(report)

	return report, true
}

func sum(counts map[string]int64) int64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}

	return total
}

// count returns what all entries have counted in a window, as far as that was read.
func (r *UsageReporter) count(window int64) usage.Counts {
	tallies := r.tallies

	for _, own := range r.Counting.Windows() {
		if own.Number == window {
			tallies = append(tallies, usage.Tally{Process: r.Self.Process, Revision: own.Revision, Counts: own.Counts})
		}
	}

	return usage.Sum(tallies)
}

// sendReport sends a report once.
func (r *UsageReporter) sendReport(ctx context.Context, report lease.Report, timeout time.Duration) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	fence := r.subject.lease.Fence()
	requested := r.Counting.Clock()
	err := r.Platform.Report(bounded, Token{VM: r.Self.VM, Fence: fence}, report)
	log := r.Log.WithFields(logrus.Fields{fieldWindow: report.Window, fieldFence: fence, "took": (r.Counting.Clock() - requested).Milliseconds()})
	r.nextTry = r.Counting.Clock() + retryAfter(r.CallRate)

	if err == nil {
		r.book.Done(report.Window)
		r.nextTry = r.Counting.Clock() + callSpacing(r.CallRate)
		metric.Count(r.Metrics, "duty.report.sent")
		log.Info("usage report sent")

		return
	}

	metric.Count(r.Metrics, "duty.report.failed")

	var refused *RefusedError
	if errors.As(err, &refused) {
		log = log.WithField("status", refused.Status)
	}

	log.WithError(err).Warn("usage report refused or not answered")
}

// retryAfter returns the time from a call of a duty until it is repeated, which keeps the duty within its part of the rate of calls.
func retryAfter(rate float64) time.Duration {
	return max(reportRetry, callSpacing(rate))
}

// callSpacing returns the least time between two calls of a duty; 0 if the rate of calls is not limited.
func callSpacing(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}

	return time.Duration(min(float64(time.Second)/(rateShare*rate), float64(time.Hour)))
}
