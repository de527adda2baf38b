package hosted

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/entry"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/platform"
)

// flushUsageTimeout limits the last message about counts at the end of the process.
const flushUsageTimeout = 150 * time.Millisecond

// duties runs the duties of one VM in an entry. A nil pointer runs none.
type duties struct {
	counting *holder.Counting
	reporter *holder.UsageReporter
	// released is closed once the lease is released at the end of the process.
	released chan struct{}
}

// newDuties returns the duties that the settings ask for; nil if they ask for none.
func (p *process) newDuties(server *entry.Entry, store *platform.Store) *duties {
	settings := p.settings
	if settings.Cloud == nil || !settings.Cloud.UsageReports {
		return nil
	}

	self := lease.Holder{VM: settings.VM, Process: ident.New("entry")}
	client := &link.UsageClient{Links: server.Links, Entry: settings.VM, Process: self.Process}
	counting := &holder.Counting{
		Counter: &usage.Counter{Length: settings.Bounds.ReportWindow, Due: settings.Bounds.MaxReportDelay}, Clock: freshness.Clock,
		Differences: server.Links.TimeDifferences,
		Own:         func() time.Duration { return time.Duration(time.Now().UnixNano()) - freshness.Clock() },
		Record:      client.Record,
	}
	server.Usage = counting

	return &duties{
		counting: counting,
		reporter: &holder.UsageReporter{
			Store: &platform.DutyStore{Store: store}, Platform: platform.NewCloud(settings.Cloud.Address), Tallies: client, Counting: counting,
			Self: self, IsCandidate: server.Links.IsReader, Due: settings.Bounds.MaxReportDelay, MinTenure: settings.Bounds.MinTenure,
			CallRate: settings.Cloud.CallRate, FirstStart: settings.FirstStart, Log: p.log, Metrics: p.metrics,
		},
		released: make(chan struct{}),
	}
}

// run makes the calls of the duties until the first context ends, which is at SIGTERM, and counts until the second one ends.
func (d *duties) run(ctx, background context.Context) {
	if d == nil {
		return
	}

	go d.counting.Run(background)
	go func() {
		d.reporter.Run(ctx)
		close(d.released)
	}()
}

// finish passes on the last counts, and waits until the lease is released.
func (d *duties) finish() {
	if d == nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), flushUsageTimeout)
	defer cancel()

	d.counting.Flush(ctx)

	select {
	case <-d.released:
	case <-ctx.Done():
	}
}
