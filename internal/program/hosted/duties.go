package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/entry"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/platform"
)

// flushUsageTimeout limits the last message about counts and the wait for the release of leases at the end of the process.
const flushUsageTimeout = 150 * time.Millisecond

// duties runs the duties of one VM in an entry. A nil pointer runs none.
type duties struct {
	// counting and reporter are nil if usage is not reported, and scaler is nil if no servers are ordered.
	counting *holder.Counting
	reporter *holder.UsageReporter
	scaler   *holder.Scaler
	// running is done once the leases are released at the end of the process.
	running sync.WaitGroup
}

// newDuties returns the duties that the settings ask for; nil if they ask for none.
func (p *process) newDuties(server *entry.Entry, store *platform.Store) *duties {
	if p.settings.Cloud == nil {
		return nil
	}

	d := &duties{}
	self := lease.Holder{VM: p.settings.VM, Process: ident.New("entry")}
	cloud := platform.NewCloud(p.settings.Cloud.Address)
	rows := &platform.DutyStore{Store: store}

	if p.settings.Cloud.UsageReports {
		p.addReporter(d, server, self, rows, cloud)
	}

	if p.settings.Cloud.Scaling {
		d.scaler = &holder.Scaler{
			Store: rows, Platform: cloud, Loads: server.ServiceLoads, Clock: freshness.Clock, Self: self, IsCandidate: server.Links.IsReader,
			MinTenure: p.settings.Bounds.MinTenure, CallRate: p.settings.Cloud.CallRate, FirstStart: p.settings.FirstStart, Log: p.log, Metrics: p.metrics,
			Candidates: func() int { return scalerCount(server.Links.KnownEntries(), server.Links.ConnectedCount()) },
		}
	}

	return d
}

// scalerCount returns how many entries may order servers at the same time: the readers, or all entries if no agent is connected to choose these.
// While the number of entries is not known, it is taken to suffice for the most readers.
func scalerCount(entries, agents int) int {
	if agents == 0 {
		return max(entries, 1)
	}

	if entries == 0 {
		return progress.MaxReaders
	}

	return min(entries, progress.MaxReaders)
}

// addReporter adds the duty of the usage reports.
func (p *process) addReporter(d *duties, server *entry.Entry, self lease.Holder, rows *platform.DutyStore, cloud *platform.Cloud) {
	settings := p.settings
	client := &link.UsageClient{Links: server.Links, Entry: settings.VM, Process: self.Process}
	d.counting = &holder.Counting{
		Counter: &usage.Counter{Length: settings.Bounds.ReportWindow, Due: settings.Bounds.MaxReportDelay}, Clock: freshness.Clock,
		Differences: server.Links.TimeDifferences,
		Own:         func() time.Duration { return time.Duration(time.Now().UnixNano()) - freshness.Clock() },
		Record:      client.Record,
	}
	server.Usage = d.counting
	d.reporter = &holder.UsageReporter{
		Store: rows, Platform: cloud, Tallies: client, Counting: d.counting, Self: self, IsCandidate: server.Links.IsReader,
		// Only agents know the counts of other entries.
		CanCount: func() bool {
			return server.Links.HasMostAgents() || server.WithoutAgents() && server.Links.KnownEntries() <= 1
		},
		Due: settings.Bounds.MaxReportDelay, MinTenure: settings.Bounds.MinTenure, CallRate: settings.Cloud.CallRate, FirstStart: settings.FirstStart,
		Log: p.log, Metrics: p.metrics,
	}
}

// run makes the calls of the duties until the first context ends, which is at SIGTERM, and counts until the second one ends.
func (d *duties) run(ctx, background context.Context) {
	if d == nil {
		return
	}

	if d.reporter != nil {
		go d.counting.Run(background)
		d.running.Go(func() { d.reporter.Run(ctx) })
	}

	if d.scaler != nil {
		d.running.Go(func() { d.scaler.Run(ctx) })
	}
}

// finish sends the last counts, and waits until the leases are released, for flushUsageTimeout in total.
func (d *duties) finish() {
	if d == nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), flushUsageTimeout)
	defer cancel()

	if d.counting != nil {
		d.counting.Flush(ctx)
	}

	released := make(chan struct{})

	go func() {
		d.running.Wait()
		close(released)
	}()

	select {
	case <-released:
	case <-ctx.Done():
	}
}
