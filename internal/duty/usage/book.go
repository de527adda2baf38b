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
	// missed are windows before next that were given up and that nobody has fixed: the clock may have been wrong by which they were late.
	missed lease.Span
	// base is the anchor of the row, and anchor that of the next one.
	base, anchor lease.Anchor
	// proposed holds the reports that this process has tried to fix, by window.
	proposed map[int64]lease.Report
	// disputed holds the windows that were fixed with various counts.
	disputed map[int64]bool
	// done holds the windows whose report has arrived or was given up.
	done map[int64]bool
}

// Adopt records the content of a row. What this process knows of a report stays, also if the row lacks it: the store may have been restored from an
// older copy. If the row has other counts, a write of before the restore has arrived late. Either counts may have been reported, so that neither
// are sent from then on.
func (b *Book) Adopt(content lease.Content) {
	b.missed = unfixed(lease.Content{NextWindow: b.next, Missed: b.missed}, content)
	b.next = max(b.next, content.NextWindow)
	b.base, b.anchor = content.Anchor, content.Anchor

	for _, report := range content.Reports {
		b.put(report)
	}
}

// unfixed returns the windows before the next one that both contents state as not fixed. A content states so of its missed windows and of its next
// one and those after it. Where these are two ranges, it returns the later one.
func unfixed(a, b lease.Content) lease.Span {
	if a.NextWindow > b.NextWindow {
		a, b = b, a
	}

	if b.Missed.To > a.NextWindow {
		return lease.Span{From: max(b.Missed.From, a.NextWindow), To: b.Missed.To}
	}

	to := min(a.Missed.To, b.Missed.To)

	return lease.Span{From: min(max(a.Missed.From, b.Missed.From), to), To: to}
}

// isMissed reports whether a window is among those that were given up and not fixed.
func (b *Book) isMissed(window int64) bool {
	return window >= b.missed.From && window < b.missed.To
}

// put adds a fixed report unless its window has one already. If that one has other counts, neither is kept.
func (b *Book) put(report lease.Report) {
	at, known := b.search(report.Window)

	if known && !maps.Equal(b.reports[at].Counts, report.Counts) {
		b.dispute(at)
		return
	}

	if known || b.disputed[report.Window] {
		return
	}

	b.reports = slices.Insert(b.reports, at, report)
	b.trim()
	maps.DeleteFunc(b.done, func(window int64, _ bool) bool { return window < b.reports[0].Window })
}

// search returns the index of the report of a window, or the one at which it is to be inserted, and whether it is known.
func (b *Book) search(window int64) (int, bool) {
	return slices.BinarySearchFunc(b.reports, window, func(r lease.Report, number int64) int { return cmp.Compare(r.Window, number) })
}

// dispute removes the report at an index for good.
func (b *Book) dispute(at int) {
	if b.disputed == nil {
		b.disputed = map[int64]bool{}
	}

	window := b.reports[at].Window
	maps.DeleteFunc(b.disputed, func(earlier int64, _ bool) bool { return earlier < window-maxReports })
	b.disputed[window] = true
	b.reports = slices.Delete(b.reports, at, at+1)
}

// trim keeps the latest reports of windows before the end of the missed ones, and the latest of those after it. Both are needed, since a missed
// window is earlier than the windows that were fixed while the clock was ahead, but is fixed after them.
func (b *Book) trim() {
	after, _ := b.search(b.missed.To)
	early, late := b.reports[:after], b.reports[after:]
	b.reports = slices.Concat(early[max(len(early)-b.kept(), 0):], late[max(len(late)-b.kept(), 0):])
}

// Forget removes the reports of missed windows, and of those before them, that can no longer arrive in time.
func (b *Book) Forget(now time.Duration) {
	b.reports = slices.DeleteFunc(b.reports, func(report lease.Report) bool { return report.Window < b.missed.To && b.DueAt(report.Window) <= now })
}

// kept returns the number of fixed reports that are kept: as many as can still arrive in time.
func (b *Book) kept() int {
	return int(min(max(b.Due/b.Length+1, minReports), maxReports))
}

// Content returns what the row is to hold.
func (b *Book) Content() lease.Content {
	return lease.Content{Reports: slices.Clone(b.reports), NextWindow: b.next, Missed: b.missed, Anchor: b.anchor}
}

// Start makes the window before a time the first one that may be fixed, unless another one is known.
func (b *Book) Start(now time.Duration) {
	if b.next == 0 {
		b.next = Number(now, b.Length) - 1
	}
}

// SkipBefore gives up the windows that ended before a time: their counts may have been fixed, and it is not known as what. Fixed reports are given up
// as well: a write of before a restore of the store may have arrived late, and has other counts than those that were reported.
func (b *Book) SkipBefore(at time.Duration) {
	b.next = max(b.next, Number(at, b.Length))
	b.missed = lease.Span{}
	b.reports = slices.DeleteFunc(b.reports, func(report lease.Report) bool { return report.Window < b.next })
}

// Overdue gives up the windows whose report would arrive too late, and returns their number. They count as missed, except those that this process
// has tried to fix and those before: an attempt may still take effect.
func (b *Book) Overdue(now time.Duration) int64 {
	if b.next == 0 {
		return 0
	}

	missed := max(b.firstInTime(now)-b.next, 0)
	if missed > 0 {
		if b.missed.To != b.next {
			b.missed.From = b.next
		}

		b.next += missed
		b.missed.To = b.next
	}

	for window := range b.proposed {
		if b.isMissed(window) && b.DueAt(window) <= now {
			b.missed.From = window + 1
		}
	}

	return missed
}

// firstInTime returns the first window whose report can still arrive in time.
func (b *Book) firstInTime(now time.Duration) int64 {
	return Number(now-b.Due, b.Length)
}

// firstMissedInTime returns the first missed window whose report can still arrive in time; it is not before the end of the missed ones if there
// is none.
func (b *Book) firstMissedInTime(now time.Duration) int64 {
	return max(b.missed.From, b.firstInTime(now))
}

// fixAt returns the time at which a window is to be fixed.
func (b *Book) fixAt(window int64) time.Duration {
	return End(window, b.Length) + FixDelay
}

// FixAt returns the time at which the next window is to be fixed: a missed one if its report can still arrive in time.
func (b *Book) FixAt(now time.Duration) time.Duration {
	if window := b.firstMissedInTime(now); window < b.missed.To {
		return b.fixAt(window)
	}

	return b.fixAt(b.next)
}

// ToFix returns the windows that are to be fixed now, oldest first. Missed windows are among them if their reports can arrive in time after all.
func (b *Book) ToFix(now time.Duration) []int64 {
	var windows []int64

	for window := b.firstMissedInTime(now); window < b.missed.To && b.fixAt(window) <= now; window++ {
		windows = append(windows, window)
	}

	for window := b.next; b.next != 0 && b.fixAt(window) <= now; window++ {
		windows = append(windows, window)
	}

	return windows
}

// WithFixed returns what the row is to hold once some windows of ToFix are fixed, of which those without one of the reports had no requests. The book
// itself changes when the row is known to hold them.
func (b *Book) WithFixed(reports []lease.Report, windows []int64) lease.Content {
	changed := Book{Length: b.Length, Due: b.Due, reports: slices.Clone(b.reports), next: b.next, missed: b.missed, anchor: b.anchor}

	for _, report := range reports {
		changed.put(report)
	}

	for _, window := range windows {
		if changed.isMissed(window) {
			changed.missed.From = window + 1
		}

		changed.next = max(changed.next, window+1)
	}

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

	maps.DeleteFunc(b.proposed, func(window int64, _ lease.Report) bool { return window < b.next && !b.isMissed(window) })
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
