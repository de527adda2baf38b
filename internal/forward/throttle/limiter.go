package throttle

import (
	"math"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/limit/bucket"
)

const (
	// burst is the number of requests that may follow each other at once after a pause.
	burst = 2
	// startPause is the time without requests after a limit was named first. The requests that were under way then, and those of
	// senders that do not know of the limit yet, come on top of what is granted.
	startPause = time.Second
	// minRate is the number of requests a second that a server gets even if it names a lower limit: only a response tells that a limit
	// has ended.
	minRate = 0.2
	// maxRate bounds the number of requests a second that is counted, so that an absurd limit causes no overflow.
	maxRate = 1e6
)

// Limiter keeps requests to one server within the newest limit that the server has named. Its exported fields are set before use, and later
// only by setShare. It is not safe for concurrent use.
type Limiter struct {
	// Share is the fraction of the limit that this limiter grants; 0 stands for all of it.
	Share float64

	newest Statement
	// bucket holds the requests that may be sent; nil without a limit.
	bucket *bucket.Bucket
}

// Observe records a statement unless a known one supersedes it, and reports whether the limit has changed.
func (l *Limiter) Observe(now time.Time, s Statement) bool {
	if !s.Supersedes(l.newest) {
		return false
	}

	changed := s.Limit != l.newest.Limit
	l.newest = s

	if changed {
		l.limit(now)
	}

	return changed
}

// Adopt is Observe for a statement that another process has passed on. The time of such a statement is late by the time of its way, so
// that it does not replace one of the same limit: a statement that is passed back and forth would look newer each time.
func (l *Limiter) Adopt(now time.Time, s Statement) bool {
	if s.Limit == l.newest.Limit && s.StartedAt == l.newest.StartedAt {
		return false
	}

	return l.Observe(now, s)
}

// setShare changes the fraction of the limit that is granted from now on.
func (l *Limiter) setShare(now time.Time, share float64) {
	if share != l.Share {
		l.Share = share
		l.limit(now)
	}
}

// limit makes the bucket that of the newest limit.
func (l *Limiter) limit(now time.Time) {
	rate := toUnits(l.rate())

	switch {
	case !l.newest.Limit.Named:
		l.bucket = nil
	case l.bucket == nil:
		l.bucket = bucket.New(now, rate, toUnits(burst), -bucket.Refill(rate, startPause))
	default:
		l.bucket.SetLimits(now, rate, toUnits(burst))
	}
}

// Newest returns the newest statement.
func (l *Limiter) Newest() Statement {
	return l.newest
}

// Limited reports whether the server has a limit.
func (l *Limiter) Limited() bool {
	return l.bucket != nil
}

// Take reports whether one request may be sent now, and counts it if so. After it, requests for the given reserve are left.
func (l *Limiter) Take(now time.Time, reserve int) bool {
	if l.bucket == nil {
		return true
	}

	if l.bucket.Level(now) < toUnits(float64(1+reserve)) {
		return false
	}

	id, ok := l.bucket.DebitExact(now, bucket.UnitsPerToken)
	l.bucket.CloseDebit(id)

	return ok
}

// Wait returns the time until a request may be sent before which others wait; 0 if it may be sent now.
func (l *Limiter) Wait(now time.Time, ahead int) time.Duration {
	if l.bucket == nil {
		return 0
	}

	missing := toUnits(float64(1+ahead)) - l.bucket.Level(now)

	return max(time.Duration(math.Ceil(float64(missing)/float64(toUnits(l.rate()))*float64(time.Second))), 0)
}

// Spacing returns the mean time between two requests; 0 without a limit.
func (l *Limiter) Spacing() time.Duration {
	if l.bucket == nil {
		return 0
	}

	return time.Duration(float64(time.Second) / l.rate())
}

// rate returns the number of requests a second that are granted.
func (l *Limiter) rate() float64 {
	rate := min(max(l.newest.Limit.Rate, minRate), maxRate)
	if l.Share > 0 {
		rate *= l.Share
	}

	return rate
}

// toUnits converts a number of requests to units of the bucket.
func toUnits(requests float64) int64 {
	return int64(requests * bucket.UnitsPerToken)
}
