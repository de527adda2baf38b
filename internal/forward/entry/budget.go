package entry

import (
	"sync"
	"time"
)

// entryBudgetShare is the fraction of the common retry budget that entries use; the rest is a margin for requests at the
// edges of the time window.
const entryBudgetShare = 0.7

// retryBudget limits the retries of this entry to its share of the retry budget of all entries.
type retryBudget struct {
	mu sync.Mutex
	// windows is keyed by service.
	windows map[string]*retryWindow
}

// retryWindow holds the times of the requests and of the retries within Bounds.RetryWindow, oldest first.
type retryWindow struct {
	requests []time.Time
	retries  []time.Time
}

func (b *retryBudget) window(service string) *retryWindow {
	if b.windows == nil {
		b.windows = map[string]*retryWindow{}
	}

	found := b.windows[service]
	if found == nil {
		found = &retryWindow{}
		b.windows[service] = found
	}

	return found
}

// countRequest counts a request of a client.
func (b *retryBudget) countRequest(now time.Time, service string, bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()

	found := b.window(service)
	found.requests = append(dropBefore(found.requests, now.Add(-bounds.RetryWindow)), now)
}

// takeRetry reports whether a request to a service may be retried, and counts the retry if so.
func (e *Entry) takeRetry(now time.Time, service string) bool {
	return e.retryBudget.takeRetry(now, service, e.Bounds, e.extraSharers(now))
}

// extraSharers returns the number of entries that share the extra retries; 0 if this entry may use none of them. It may use none in the
// first window after its start, since an earlier process of its VM, or entries that count on fewer others, may have used its part.
func (e *Entry) extraSharers(now time.Time) int {
	if now.Sub(e.StartedAt) < e.Bounds.RetryWindow {
		return 0
	}

	return e.Entries()
}

// takeRetry reports whether a request may be retried if the given number of entries share the extra retries, and counts the retry if so.
// With 0 entries, only the ratio of the requests is allowed.
func (b *retryBudget) takeRetry(now time.Time, service string, bounds Bounds, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	found := b.window(service)
	found.requests = dropBefore(found.requests, now.Add(-bounds.RetryWindow))
	found.retries = dropBefore(found.retries, now.Add(-bounds.RetryWindow))

	allowed := bounds.RetryRatio * float64(len(found.requests))
	if entries > 0 {
		allowed += bounds.RetryExtra / float64(entries)
	}

	if float64(len(found.retries)+1) > allowed*entryBudgetShare {
		return false
	}

	found.retries = append(found.retries, now)

	return true
}

// dropBefore removes the times before since; the result reuses the array of times.
func dropBefore(times []time.Time, since time.Time) []time.Time {
	at := 0
	for at < len(times) && times[at].Before(since) {
		at++
	}

	return append(times[:0], times[at:]...)
}
