package member

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstBackoff is how long a breaker stays open after the first failure.
	firstBackoff = 500 * time.Millisecond
	// maxBackoff bounds the time for which a breaker stays open, so that a server that has recovered is soon used again.
	maxBackoff = 15 * time.Second
)

// Breaker is the circuit breaker of one address. A failed request opens it for a time that doubles with each failure.
// Afterwards one request probes the server while others still avoid it.
type Breaker struct {
	mu sync.Mutex
	// failures is the number of failures in a row.
	failures int
	// openUntil is the time until which the breaker is open, in Unix nanoseconds. It is atomic because it is read for each
	// candidate of each server selection.
	openUntil atomic.Int64
}

// Open reports whether the breaker is open, and the server is to be avoided.
func (b *Breaker) Open(now time.Time) bool {
	return now.UnixNano() < b.openUntil.Load()
}

// Begin records the start of a request. After a failure, the request counts as failed until Succeeded is called, so that only
// one request probes the server.
func (b *Breaker) Begin(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.failures > 0 {
		b.fail(now)
	}
}

// Failed opens the breaker. Failures while it is open do not count, because one crash ends many requests at once.
func (b *Breaker) Failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.fail(now)
}

func (b *Breaker) fail(now time.Time) {
	if b.Open(now) {
		return
	}

	b.failures++
	b.openUntil.Store(now.Add(b.backoff()).UnixNano())
}

// Succeeded closes the breaker.
func (b *Breaker) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.failures = 0
	b.openUntil.Store(0)
}

// backoff returns the time for which the breaker opens after the latest failure.
func (b *Breaker) backoff() time.Duration {
	backoff := firstBackoff

	for range b.failures - 1 {
		backoff *= 2

		if backoff >= maxBackoff {
			return maxBackoff
		}
	}

	return backoff
}

// Breakers holds the Breaker of each address. It is safe for concurrent use; the zero value is empty and ready.
type Breakers struct {
	mu        sync.Mutex
	byAddress map[string]*Breaker
}

// For returns the Breaker of the address and creates it if needed.
func (b *Breakers) For(address string) *Breaker {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.byAddress == nil {
		b.byAddress = map[string]*Breaker{}
	}

	found, ok := b.byAddress[address]
	if !ok {
		found = &Breaker{}
		b.byAddress[address] = found
	}

	return found
}

// Retain deletes the breakers of all addresses that are not listed.
func (b *Breakers) Retain(listed map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	for address := range b.byAddress {
		if !listed[address] {
			delete(b.byAddress, address)
		}
	}
}
