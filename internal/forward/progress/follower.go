package progress

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
)

const (
	// jitterShare is the part of MaxAge by which the reads of entries that miss the same confirmations are spread.
	jitterShare = 0.2
	// minReadInterval is the shortest time between two reads that published changes cause.
	minReadInterval = 100 * time.Millisecond
	// maxCatchUp is the longest time that the read of a change takes from the moment at which an entry hears of it, while the store responds.
	maxCatchUp = 400 * time.Millisecond
)

// Follower tracks how far an entry has read one topic, and decides when it has to read it. Its exported fields are set before
// use. It is safe for concurrent use.
type Follower struct {
	// MaxAge is the age of the last confirmation after which an entry reads the topic itself.
	MaxAge time.Duration
	// OwnMaxAge is the age of the last confirmation by the store to this entry itself after which it reads the topic, to notice
	// that it alone cannot reach the store; 0 for none.
	OwnMaxAge time.Duration
	// Freshness tracks the age of the confirmations.
	Freshness *freshness.Tracker
	// Pulse tells when this process stood still; nil if it never does.
	Pulse *freshness.Pulse
	// IsReader reports whether this entry watches the topic for others.
	IsReader func() bool
	// OnPublish is called after a read that this entry publishes.
	OnPublish func()

	mu sync.Mutex
	// read is the newest version of the store at the last read, and newest that at the last read with a change; both are set if
	// known is true.
	read, newest Mark
	known        bool
	// readAt is when the topic was read last.
	readAt time.Time
	// published is the newest change that another entry has published since the last read.
	published Mark
	// behindSince is when this entry first heard of a change that it has not read yet; it is set if behind is true.
	behindSince time.Duration
	behind      bool
	// eraSince is when the first read since the last restore of the store was requested; 0 if there was none. What was confirmed before may
	// lack in the copy.
	eraSince time.Duration
	// publishes is true if this entry publishes its reads: as a reader, or since the readers have published nothing for too long.
	publishes bool
	// regained is when the store responded again after calls of this or another entry had failed; it is set if failed is true.
	regained time.Duration
	failed   bool
	// wake ends a wait of Await; nil if there is none.
	wake chan struct{}
}

// Read is the result of reading a topic.
type Read struct {
	// Newest is the newest version of the store.
	Newest Mark
	// Changed is true if the topic may have changed since the previous read, whether or not that changes what this entry makes of it: others
	// may not have made the same of it.
	Changed bool
	// Requested is when the read was requested, as a reading of freshness.Clock.
	Requested time.Duration
	// StoreClock is the reading of the store's monotonic clock in the response.
	StoreClock time.Duration
	// Unsettled is true if the store was restored from a copy a moment ago and may lack what was written before: the read confirms
	// nothing.
	Unsettled bool
}

// Record records a read of the topic.
func (f *Follower) Record(read Read) {
	f.mu.Lock()

	if read.Newest.Era != f.read.Era {
		f.Freshness.Reset()

		if f.known {
			f.eraSince = read.Requested
		}
	}

	if read.Changed || !f.known {
		f.newest = read.Newest
	}

	f.read, f.known, f.readAt = read.Newest, true, time.Now()
	f.published = Mark{}
	f.behind = false
	publishes := f.publishes
	f.mu.Unlock()

	if read.Unsettled {
		f.Freshness.Recover(read.StoreClock)
	} else {
		f.Freshness.Confirm(read.Requested, read.StoreClock)
	}

	if publishes {
		f.OnPublish()
	}
}

// Observe handles a confirmation that another entry has published. It counts for this entry if this entry has read the newest
// change; otherwise the topic is read.
func (f *Follower) Observe(c Confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if c.Failed {
		f.setRegained(c.Regained)
	}

	if !f.known {
		return
	}

	if !f.read.Before(c.Newest) {
		f.Freshness.ConfirmRelayed(c.At)
		return
	}

	if !f.behind {
		f.behindSince, f.behind = f.Freshness.Clock(), true
	}

	if f.published.Before(c.Newest) {
		f.published = c.Newest
		f.notify()
	}
}

// CurrentAge returns the time since the newest confirmation that this entry has all changes of the topic; false if it knows of one that it could
// not read, or if there was no confirmation since the store was restored or since this process stood still. What was queued for the process
// meanwhile confirms nothing.
func (f *Follower) CurrentAge() (time.Duration, bool) {
	age, known := f.Freshness.SharedAge()
	confirmed := f.Freshness.Clock() - age

	f.mu.Lock()
	defer f.mu.Unlock()

	since := f.eraSince
	if f.Pulse != nil {
		since = max(since, f.Pulse.Resumed())
	}

	behind := f.behind && f.Freshness.Clock()-f.behindSince > maxCatchUp

	return age, known && !behind && confirmed >= since
}

// BehindFor returns for how long this entry has known of a change that it could not read; 0 if there is none.
func (f *Follower) BehindFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()

	if !f.behind {
		return 0
	}

	return f.Freshness.Clock() - f.behindSince
}

// RecordRegained records that the store responds again after calls of this entry had failed.
func (f *Follower) RecordRegained() {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.setRegained(f.Freshness.Clock())
}

func (f *Follower) setRegained(at time.Duration) {
	if !f.failed || at > f.regained {
		f.regained, f.failed = at, true
	}
}

// SinceRegained returns the time since the store responded again after calls of this or another entry had failed; false if none
// has failed. All entries go by the same time, so that they keep the same servers.
func (f *Follower) SinceRegained() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.Freshness.Clock() - f.regained, f.failed
}

// Wake ends a wait of Await; it is called when IsReader has changed.
func (f *Follower) Wake() {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.notify()
}

// notify ends a wait of Await. The lock must be held.
func (f *Follower) notify() {
	if f.wake != nil {
		close(f.wake)
		f.wake = nil
	}
}

// Publication returns the confirmation for other entries; false if this entry publishes none.
func (f *Follower) Publication() (Confirmation, bool) {
	at, confirmed := f.Freshness.Confirmed()

	f.mu.Lock()
	defer f.mu.Unlock()

	return Confirmation{Newest: f.newest, At: at, Regained: f.regained, Failed: f.failed}, confirmed && f.known && f.publishes
}

// Await returns when the topic is to be read, or when the context ends.
func (f *Follower) Await(ctx context.Context) {
	spread := 1 - rand.Float64()*jitterShare

	for ctx.Err() == nil {
		wait, wake := f.check(spread)
		if wait <= 0 {
			return
		}

		timer := time.NewTimer(wait)

		select {
		case <-ctx.Done():
		case <-wake:
		case <-timer.C:
		}

		timer.Stop()
	}
}

// check returns how long to wait, unless wake is closed before; 0 or less if the topic is to be read now. The highest ages are
// multiplied by spread.
func (f *Follower) check(spread float64) (time.Duration, <-chan struct{}) {
	reader := f.IsReader()
	left, confirmed := remaining(f.Freshness.SharedAge, f.MaxAge, spread)
	ownLeft, _ := remaining(f.Freshness.Age, f.OwnMaxAge, spread)

	f.mu.Lock()
	defer f.mu.Unlock()

	if reader || !confirmed || left <= 0 {
		f.publishes = true
		return 0, nil
	}

	if f.read.Before(f.published) {
		f.publishes = false
		return minReadInterval - time.Since(f.readAt), nil
	}

	if f.wake == nil {
		f.wake = make(chan struct{})
	}

	if f.OwnMaxAge > 0 {
		left = min(left, ownLeft)
	}

	return left, f.wake
}

// remaining returns the time until an age reaches its maximum, multiplied by spread; false if the age is not known.
func remaining(age func() (time.Duration, bool), maximum time.Duration, spread float64) (time.Duration, bool) {
	now, known := age()

	return time.Duration(spread*float64(maximum)) - now, known
}
