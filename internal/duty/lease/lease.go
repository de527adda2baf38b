// Package lease decides which VM holds a duty. A duty has one row in the store, and each change of the row is conditional on its version.
// The package makes no calls: its callers report what was read and written, and it returns what may be written.
package lease

import (
	"time"
)

const (
	// Duration is the time for which a lease is taken or renewed. It is longer than the time between two usage reports, whose writes renew it.
	Duration = 7 * time.Second
	// ExpiryMargin is the time after the expiry of a lease on the store's clock before another process takes it.
	ExpiryMargin = 300 * time.Millisecond
	// RenewPeriod is the time after which a lease is renewed if no other write has renewed it.
	RenewPeriod = 5500 * time.Millisecond
	// WriteTimeout limits a write of a row. A write that takes longer may still take effect.
	WriteTimeout = 1500 * time.Millisecond
	// maxFormer is the number of former holders that a row keeps; there is no change of holder while it is full.
	maxFormer = 8
	// eraShift is the position of the era of the store in a fencing token.
	eraShift = 32
)

// Holder is a process that may hold a duty.
type Holder struct {
	VM string
	// Process is a random id: another VM may have the same name later.
	Process string
}

// Former is an earlier holder, and the time on the store's clock at which it had lost the lease.
type Former struct {
	VM     string
	LostAt time.Duration
}

// Report is the usage report of a window whose counts are fixed: it never changes.
type Report struct {
	Window int64
	// Counts is the number of requests by client account; accounts without requests are left out.
	Counts map[string]int64
}

// Span is the range of the windows from From on and before To.
type Span struct {
	From, To int64
}

// Anchor is the difference between the true time by which windows are numbered and the store's clock, and the reading of that clock at which it was
// determined. It is empty if it is not known.
type Anchor struct {
	Offset, At time.Duration
}

// Content is what a row carries for its duty.
type Content struct {
	// Reports are the fixed reports of the last windows, oldest first, and NextWindow is the first window that may still be fixed.
	Reports    []Report
	NextWindow int64
	// Missed are windows before NextWindow that were given up and never fixed. They may still be fixed if the clock was wrong by which they were late.
	Missed Span
	// Anchor limits by which times windows may be fixed, since the clock of a holder may be wrong.
	Anchor Anchor
	// Servers is the number of servers that was ordered last; 0 if none was.
	Servers int
}

// Row is the row of a duty and subject.
type Row struct {
	Holder Holder
	// Write counts the writes of the process, so that it can recognize one whose response was lost.
	Write int64
	Fence int64
	// Expires is the time on the store's clock at which the lease ends.
	Expires time.Duration
	// Era is that of the store at the write.
	Era     int64
	Former  []Former
	Content Content
}

// Answer is what the store answered about the row.
type Answer struct {
	// Requested and Answered are local times.
	Requested, Answered time.Duration
	// Clock is the reading of the store's clock; 0 if the answer does not state it. Era is the number of its restores.
	Clock time.Duration
	Era   int64
	// Row is nil if the row does not exist, and Version its version; 0 if it does not exist.
	Row     *Row
	Version int64
	// Unchanged is true if the row did not change since the answer before; Row and Version are then not set.
	Unchanged bool
}

// Write is a row to be written if the version of the row in the store is Expected; 0 means that it does not exist.
type Write struct {
	Row         Row
	Expected    int64
	RequestedAt time.Duration
}

// Lease is what one process knows of the row of a duty. Times are local and include those in which the VM is suspended.
type Lease struct {
	Self Holder
	// MinTenure is the time within which holders must not act in the order A, B, A.
	MinTenure time.Duration
	// FirstStart is true if the whole system has just started for the first time, so that a missing row was never written.
	FirstStart bool

	// observed is true once an answer of the store was observed, and known is true while row and version are those of the last answer.
	observed bool
	known    bool
	row      *Row
	version  int64
	era      int64
	firstEra int64
	// seenAt is when the row was first observed in this version, and staleAt when it was first observed that the store's era is later than
	// that of the row. staleClock is the store's clock in the answer that showed this: the restore was
	// earlier.
	seenAt, staleAt time.Duration
	staleClock      time.Duration
	stale           bool
	// clock is the store's clock in the answer to a request that was sent at requested and answered at answered.
	clock, requested, answered time.Duration
	// heldFrom is when the write was requested that renewed the lease last, if held is true.
	heldFrom time.Duration
	held     bool
	// fence is the highest fencing token that this process has held the lease with.
	fence int64
	// writes counts the writes of this process, and pending is the one whose outcome is not known; nil if there is none.
	writes  int64
	pending *Write
}

// Known reports whether the row was read.
func (l *Lease) Known() bool {
	return l.known
}

// Era returns the era of the store in the last answer.
func (l *Lease) Era() int64 {
	return l.era
}

// Row returns the row as it was observed last; nil if it does not exist.
func (l *Lease) Row() *Row {
	return l.row
}

// Fence returns the fencing token of this holder; it is valid while the lease is held. After a restore of the store, the row may be one that this
// process wrote when it held the lease before, with a lower token.
func (l *Lease) Fence() int64 {
	return l.fence
}

// IsOwn reports whether the row names this process as the holder. It may do so after the lease has expired.
func (l *Lease) IsOwn() bool {
	return l.row != nil && l.row.Holder == l.Self
}

// Left returns the time until the lease could have expired; 0 if it is not held.
func (l *Lease) Left(now time.Duration) time.Duration {
	if !l.held || !l.IsOwn() {
		return 0
	}

	return max(l.heldFrom+Duration-now, 0)
}

// RenewAt returns when the lease is to be renewed.
func (l *Lease) RenewAt() time.Duration {
	return l.heldFrom + RenewPeriod
}

// Observe records what was read, and reports whether this process has lost the lease to another one.
func (l *Lease) Observe(answer Answer) (lost bool) {
	wasOwn := l.IsOwn()
	restored := l.observed && answer.Era != l.era

	if restored && answer.Unchanged {
		// Versions are given out again, so that it is not known whether the row is the same.
		l.known = false
		return false
	}

	l.observeClock(answer, restored)

	if answer.Unchanged {
		return false
	}

	if !l.observed {
		l.firstEra = answer.Era
	}

	if !l.observed || restored || answer.Version != l.version {
		l.seenAt = answer.Answered
	}

	l.row, l.version, l.era = answer.Row, answer.Version, answer.Era
	l.observed, l.known = true, true
	l.observeStale(answer, restored)
	l.resolvePending()
	l.held = l.held && l.IsOwn()

	return wasOwn && !l.IsOwn()
}

// observeClock records the reading of the store's clock in the latest answer that has one.
func (l *Lease) observeClock(answer Answer, restored bool) {
	if answer.Clock == 0 {
		return
	}

	if restored || answer.Answered >= l.answered {
		l.clock, l.requested, l.answered = answer.Clock, answer.Requested, answer.Answered
	}
}

// observeStale records since when the row is of an earlier era than the store. A missing row counts as one unless it was never written.
func (l *Lease) observeStale(answer Answer, restored bool) {
	stale := l.row != nil && l.row.Era != l.era || l.row == nil && !l.neverWritten()

	if stale && (!l.stale || restored) {
		l.staleAt, l.staleClock = answer.Answered, answer.Clock
	}

	l.stale = stale
}

// neverWritten reports whether a missing row was never written.
func (l *Lease) neverWritten() bool {
	return l.era == 0 || l.FirstStart && l.era == l.firstEra
}

// resolvePending decides whether the write took effect whose response was lost.
func (l *Lease) resolvePending() {
	if l.pending == nil {
		return
	}

	// A write that reached a store that had been restored meanwhile does not prolong the lease: others count from the restore.
	if l.IsOwn() && l.row.Write == l.pending.Row.Write && !l.stale {
		l.heldFrom, l.held = l.pending.RequestedAt, true
		l.fence = l.row.Fence
	}

	l.pending = nil
}

// latest returns the highest reading that the store's clock can have at a local time.
func (l *Lease) latest(now time.Duration) time.Duration {
	return l.clock + now - l.requested
}

// earliest returns the lowest reading that the store's clock can have at a local time.
func (l *Lease) earliest(now time.Duration) time.Duration {
	return l.clock + now - l.answered
}

// StoreClock returns the lowest and the highest reading that the store's clock can have at a local time; false if it is not known.
func (l *Lease) StoreClock(now time.Duration) (earliest, latest time.Duration, known bool) {
	return l.earliest(now), l.latest(now), l.clock != 0
}

// TakeAt returns the local time from which this process, which is not the holder, may take the lease.
func (l *Lease) TakeAt() time.Duration {
	switch {
	case l.stale:
		return l.staleAt + max(Duration, l.MinTenure) + ExpiryMargin
	case l.row == nil:
		return 0
	}

	// The store's clock may have been set back. A row that nobody has renewed for longer than a lease lasts has expired in any case.
	at := min(l.localTime(l.row.Expires), l.seenAt+Duration) + ExpiryMargin

	for _, former := range l.row.Former {
		if former.VM == l.Self.VM && l.row.Holder.VM != l.Self.VM {
			at = max(at, l.localTime(former.LostAt)+l.MinTenure+ExpiryMargin)
		}
	}

	if len(l.row.Former) >= maxFormer {
		at = max(at, l.localTime(l.row.Former[0].LostAt)+l.MinTenure+ExpiryMargin)
	}

	return at
}

// localTime returns the earliest local time at which the store's clock has certainly passed a reading.
func (l *Lease) localTime(reading time.Duration) time.Duration {
	return reading - l.clock + l.answered
}

// StaleSince returns when this process first observed that the row is of an earlier era than the store; false if it is not. Reports that were
// fixed before may be missing in the row.
func (l *Lease) StaleSince() (time.Duration, bool) {
	return l.staleAt, l.stale
}

// StaleClock returns the store's clock in the answer that showed the restore reported by StaleSince: the restore was before. It is 0 if it is not
// known.
func (l *Lease) StaleClock() time.Duration {
	return l.staleClock
}

// Next returns the write that takes or renews the lease with new content; false if this process may not write now, or has to read the row first.
func (l *Lease) Next(now time.Duration, content Content) (Write, bool) {
	if !l.known || l.pending != nil {
		return Write{}, false
	}

	// A restored store gives out versions again: the row of another holder may have the version that was read before the restore. Others take the
	// lease only after it has expired, so that a version need not be read again before.
	if l.Left(now) <= WriteTimeout && now-l.answered > WriteTimeout {
		l.known = false
		return Write{}, false
	}

	if l.IsOwn() && (!l.stale || l.Left(now) > WriteTimeout) {
		return l.renew(now, content), true
	}

	if now < l.TakeAt() {
		return Write{}, false
	}

	return l.take(now, content), true
}

// renew returns the write that renews the lease of this process. A holder whose lease has not expired also takes it to the next era of a
// restored store: others wait for longer than it lasts.
func (l *Lease) renew(now time.Duration, content Content) Write {
	row := *l.row
	row.Former = l.former(now, row.Former)

	// The copy from which the store was restored may have a lower fencing token.
	row.Fence = max(row.Fence, l.fence)

	return l.write(now, row, content)
}

// take returns the write that makes this process the holder.
func (l *Lease) take(now time.Duration, content Content) Write {
	// Versions increase within an era. The token therefore increases too, whatever the row holds: a write from before a restore may have arrived
	// late and replaced it.
	row := Row{Holder: l.Self, Fence: max(l.era<<eraShift+l.version, l.fence) + 1}

	if l.row != nil {
		row.Fence = max(row.Fence, l.row.Fence+1)
		row.Former = l.formerAfterTake(now)
	}

	return l.write(now, row, content)
}

// formerAfterTake returns the former holders once this process has taken the lease.
func (l *Lease) formerAfterTake(now time.Duration) []Former {
	if l.stale {
		// The times are those of another clock; all holders have lost the lease for longer than a lease lasts.
		return []Former{{VM: l.row.Holder.VM, LostAt: l.latest(now)}}
	}

	return append(l.former(now, l.row.Former), Former{VM: l.row.Holder.VM, LostAt: min(l.row.Expires, l.latest(now))})
}

// former returns the former holders that lost the lease less than MinTenure ago, and thus may not take it yet.
func (l *Lease) former(now time.Duration, all []Former) []Former {
	var kept []Former

	for _, former := range all {
		if l.earliest(now) < former.LostAt+l.MinTenure+ExpiryMargin {
			kept = append(kept, former)
		}
	}

	return kept
}

// write completes a row and records it as pending until its outcome is known.
func (l *Lease) write(now time.Duration, row Row, content Content) Write {
	l.writes++
	row.Write, row.Era, row.Content = l.writes, l.era, content
	row.Expires = l.latest(now) + Duration
	l.pending = &Write{Row: row, Expected: l.version, RequestedAt: now}

	return *l.pending
}

// Release returns the write that ends the lease of this process, with the content that stays in the row; false if it does not hold it. The row is
// read again before the next write.
func (l *Lease) Release(now time.Duration, content Content) (Write, bool) {
	if !l.known || !l.IsOwn() || l.stale || l.Left(now) == 0 {
		return Write{}, false
	}

	released := l.write(now, *l.row, content)
	released.Row.Expires = l.latest(now)
	l.pending, l.held, l.known = nil, false, false

	return released, true
}

// Confirm records that the write took effect, from an answer with the version of the row; 0 if that is not known. An answer of another era than
// that of the write does not count, because the store was restored in between. The row is then read again.
func (l *Lease) Confirm(write Write, answer Answer) {
	if answer.Era != write.Row.Era {
		l.Fail()
		return
	}

	row := write.Row
	answer.Row = &row
	l.Observe(answer)

	if answer.Version == 0 {
		// The row is read before the next write.
		l.known = false
	}
}

// Wrote reports whether the row is the one of a write.
func (l *Lease) Wrote(write Write) bool {
	return l.IsOwn() && l.pending == nil && l.row.Write == write.Row.Write
}

// Fail records that the outcome of the write is not known, or that the row has another version: it is read again before the next write.
func (l *Lease) Fail() {
	l.known = false
}
