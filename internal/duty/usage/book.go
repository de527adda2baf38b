package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
)

const (
	// FixDelay is the time from the end of a window until its counts are fixed: the last counts of entries have arrived by then.
	FixDelay = 1200 * time.Millisecond
	// minReports and maxReports bound the number of fixed reports that are kept.
	minReports = 3
	maxReports = 32
)

// Book holds the reports that a process knows. Times are true times since the start of 1970.
type Book struct {
	// Length is the length of a window, and Due the time from its end until its report must have arrived.
	Length, Due time.Duration

	// reports holds the fixed reports, oldest first, and next is the first window that may still be fixed; 0 if it is not known.
	reports []lease.Report
	next    int64
	// proposed holds the reports that this process has tried to fix, by window.
	proposed map[int64]lease.Report
	// done holds the windows whose report has arrived or was given up.
	done map[int64]bool
}

// Adopt records the content of a row. What this process knows of a report stays, also if the row lacks it or has another one: the store may have
// been restored from an older copy, and a write of before may have arrived late.
func (b *Book) Adopt(content lease.Content) {
	for _, report := range content.Reports {
		b.put(report)
	}

	b.next = max(b.next, content.NextWindow)
}

func (b *Book) put(report lease.Report) {
	at, known := slices.BinarySearchFunc(b.reports, report.Window, func(r lease.Report, window int64) int { return cmp.Compare(r.Window, window) })

	if known {
		return
	}

	b.reports = slices.Insert(b.reports, at, report)

	if excess := len(b.reports) - b.kept(); excess > 0 {
		b.reports = slices.Delete(b.reports, 0, excess)
	}

	maps.DeleteFunc(b.done, func(window int64, _ bool) bool { return window < b.reports[0].Window })
}

// kept returns the number of fixed reports that are kept: as many as can still arrive in time.
func (b *Book) kept() int {
	return int(min(max(b.Due/b.Length+1, minReports), maxReports))
}

// Content returns what the row is to hold.
func (b *Book) Content() lease.Content {
	return lease.Content{Reports: slices.Clone(b.reports), NextWindow: b.next}
}

// Start makes the window before a time the first one that may be fixed, unless another one is known.
func (b *Book) Start(now time.Duration) {
	if b.next == 0 {
		b.next = Number(now, b.Length) - 1
	}
}

// SkipBefore gives up the windows that ended before a time: their counts may have been fixed, and it is not known as what.
func (b *Book) SkipBefore(at time.Duration) {
	b.next = max(b.next, Number(at, b.Length))
}

// Overdue gives up the windows whose report would arrive too late, and returns their number.
func (b *Book) Overdue(now time.Duration) int64 {
	first := Number(now-b.Due, b.Length)
	if b.next == 0 || first <= b.next {
		return 0
	}

	missed := first - b.next
	b.next = first

	return missed
}

// FixAt returns the time at which the next window is to be fixed.
func (b *Book) FixAt() time.Duration {
	return End(b.next, b.Length) + FixDelay
}

// ToFix returns the windows that are to be fixed now.
func (b *Book) ToFix(now time.Duration) []int64 {
	var windows []int64

	for window := b.next; b.next != 0 && End(window, b.Length)+FixDelay <= now; window++ {
		windows = append(windows, window)
	}

	return windows
}

// WithFixed returns what the row is to hold once the reports are fixed. The book itself changes when the row is known to hold them.
func (b *Book) WithFixed(reports []lease.Report, next int64) lease.Content {
	changed := Book{Length: b.Length, Due: b.Due, reports: slices.Clone(b.reports), next: b.next}
	changed.Adopt(lease.Content{Reports: reports, NextWindow: next})

	return changed.Content()
}

// Proposed returns the report of a window that this process has tried to fix; false if there is none. Each attempt has the same counts, since an
// earlier one may have taken effect and be known to others.
func (b *Book) Proposed(window int64) (lease.Report, bool) {
	report, ok := b.proposed[window]

	return report, ok
}

// Propose records that this process tries to fix a report.
func (b *Book) Propose(report lease.Report) {
	if b.proposed == nil {
		b.proposed = map[int64]lease.Report{}
	}

	maps.DeleteFunc(b.proposed, func(window int64, _ lease.Report) bool { return window < b.next })
	b.proposed[report.Window] = report
}

// ToSend returns the fixed reports that have not arrived, oldest first.
func (b *Book) ToSend() []lease.Report {
	return slices.DeleteFunc(slices.Clone(b.reports), func(report lease.Report) bool { return b.done[report.Window] })
}

// DueAt returns the time by which the report of a window must have arrived.
func (b *Book) DueAt(window int64) time.Duration {
	return End(window, b.Length) + b.Due
}

// Done records that the report of a window has arrived or was given up.
func (b *Book) Done(window int64) {
	if b.done == nil {
		b.done = map[int64]bool{}
	}

	b.done[window] = true
}
