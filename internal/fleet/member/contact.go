package member

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstBackoff is how long a server is set aside after one failed contact.
	firstBackoff = 500 * time.Millisecond
	// longestBackoff bounds the time aside, so that a server that came back is found soon.
	longestBackoff = 15 * time.Second
)

// Breaker remembers the result of recent contact with one address. A failed contact sets the server aside for a growing
// time; when it ends, one request probes the server while others still avoid it.
type Breaker struct {
	mu       sync.Mutex
	failures int
	// until is when the time aside ends, in Unix nanoseconds; it is read for every candidate of every choice.
	until atomic.Int64
}

// Open reports whether the server is to be avoided.
func (c *Breaker) Open(now time.Time) bool {
	return now.UnixNano() < c.until.Load()
}

// Begin marks the start of a contact. After a failure it counts as failed until Succeeded is called, so that only one
// request probes the server.
func (c *Breaker) Begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.failures > 0 {
		c.fail(now)
	}
}

// Failed sets the server aside. Failures while it is aside do not count: one crash ends many requests at once.
func (c *Breaker) Failed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.fail(now)
}

func (c *Breaker) fail(now time.Time) {
	if c.Open(now) {
		return
	}

	c.failures++
	c.until.Store(now.Add(c.backoff()).UnixNano())
}

// Succeeded ends the time aside.
func (c *Breaker) Succeeded() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.failures = 0
	c.until.Store(0)
}

func (c *Breaker) backoff() time.Duration {
	backoff := firstBackoff

	for range c.failures - 1 {
		backoff *= 2

		if backoff >= longestBackoff {
			return longestBackoff
		}
	}

	return backoff
}

// Breakers holds the Breaker of each address. The zero value is empty and ready.
type Breakers struct {
	mu   sync.Mutex
	byIP map[string]*Breaker
}

// For returns the Breaker of the address.
func (c *Breakers) For(address string) *Breaker {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.byIP == nil {
		c.byIP = map[string]*Breaker{}
	}

	found, ok := c.byIP[address]
	if !ok {
		found = &Breaker{}
		c.byIP[address] = found
	}

	return found
}

// Retain forgets every address that is not listed.
func (c *Breakers) Retain(listed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for address := range c.byIP {
		if !listed[address] {
			delete(c.byIP, address)
		}
	}
}
