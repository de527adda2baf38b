// Package retry limits how often requests are sent again.
package retry

import (
	"sync"
	"time"
)

const (
	// MaxServers is the maximum number of servers that one request is sent to.
	MaxServers = 3
	// retryRatio is the maximum ratio of retries to requests in a window, beyond minRetries.
	retryRatio = 0.1
	// minRetries is the number of retries in a window that are allowed regardless of traffic, so that an entry with few requests
	// can retry.
	minRetries = 10
	// window is the time for which requests and retries are counted.
	window = 10 * time.Second
	// bucketCount is the number of buckets into which the window is divided.
	bucketCount = 10
)

// Budget allows retries up to a ratio of recent requests. It is safe for concurrent use; the zero value is ready.
type Budget struct {
	mu sync.Mutex
	// buckets is a ring indexed by bucket number modulo bucketCount.
	buckets [bucketCount]bucket
	// current is the number of the current bucket since the Unix epoch.
	current int64
}

// bucket counts the requests and retries of one part of the window.
type bucket struct {
	requests int
	retries  int
}

// RecordRequest counts a new request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.advance(now).requests++
}

// AllowRetry reports whether a retry is allowed, and counts the retry if so.
func (b *Budget) AllowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	current := b.advance(now)

	var total bucket

	for _, each := range b.buckets {
		total.requests += each.requests
		total.retries += each.retries
	}

	if float64(total.retries) >= minRetries+retryRatio*float64(total.requests) {
		return false
	}

	current.retries++

	return true
}

// advance clears the buckets that have left the window and returns the current one.
func (b *Budget) advance(now time.Time) *bucket {
	bucketNumber := now.UnixNano() / int64(window/bucketCount)
	if bucketNumber > b.current {
		for expired := max(b.current+1, bucketNumber-bucketCount+1); expired <= bucketNumber; expired++ {
			b.buckets[expired%bucketCount] = bucket{}
		}

		b.current = bucketNumber
	}

	return &b.buckets[b.current%bucketCount]
}
