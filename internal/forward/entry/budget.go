package entry

import (
	"sync"
	"time"
)

// entryBudgetShare is the fraction of the common retry budget that entries use; the rest is a margin for requests at the
// edges of the time window.
const entryBudgetShare = 0.7

// startShare is the fraction of its part of the extra retries that a process may use in the first window after its start, in proportion to
// its age. With the part that an earlier process has used, it stays within the common budget: entryBudgetShare * (1 + startShare) < 1.
const startShare = 0.4

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
	return e.retryBudget.takeRetry(now, service, e.Bounds, e.extraRetries(now))
}

// mayRetry reports whether takeRetry would, and counts nothing.
func (e *Entry) mayRetry(now time.Time, service string) bool {
	return e.retryBudget.mayRetry(now, service, e.Bounds, e.extraRetries(now))
}

// extraRetries returns the part of the extra retries that this entry may use; 0 if it does not know among how many they are shared. An
// earlier process of its VM may have used its part just before the start.
func (e *Entry) extraRetries(now time.Time) float64 {
	entries := e.Entries()
	if entries == 0 {
		return 0
	}

	part := e.Bounds.RetryExtra / float64(entries)
	age := now.Sub(e.StartedAt)

	if age < e.Bounds.RetryWindow {
		part *= startShare * float64(age) / float64(e.Bounds.RetryWindow)
	}

	return part
}

// takeRetry reports whether a request may be retried if extra retries are allowed besides the ratio of the requests, and counts the retry if
// so.
func (b *retryBudget) takeRetry(now time.Time, service string, bounds Bounds, extra float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	found := b.window(service)
	if !found.allows(now, bounds, extra) {
		return false
	}

	found.retries = append(found.retries, now)

	return true
}

// mayRetry is takeRetry without counting the retry.
func (b *retryBudget) mayRetry(now time.Time, service string, bounds Bounds, extra float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.window(service).allows(now, bounds, extra)
}

// allows reports whether one more retry is allowed.
func (w *retryWindow) allows(now time.Time, bounds Bounds, extra float64) bool {
	w.requests = dropBefore(w.requests, now.Add(-bounds.RetryWindow))
	w.retries = dropBefore(w.retries, now.Add(-bounds.RetryWindow))

	allowed := bounds.RetryRatio*float64(len(w.requests)) + extra

	return float64(len(w.retries)+1) <= allowed*entryBudgetShare
}

// dropBefore removes the times before since; the result reuses the array of times.
func dropBefore(times []time.Time, since time.Time) []time.Time {
	at := 0
	for at < len(times) && times[at].Before(since) {
		at++
	}

	return append(times[:0], times[at:]...)
}
