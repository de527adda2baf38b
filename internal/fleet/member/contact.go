package member

import (
	"sync"
	"time"
)

const (
	// firstBackoff is how long a server is set aside after one failed contact.
	firstBackoff = 500 * time.Millisecond
	// longestBackoff bounds the time aside, so that a server that came back is found soon.
	longestBackoff = 15 * time.Second
)

// Contact remembers the result of recent contact with one address. A failed contact sets the server aside for a growing
// time; when it ends, one request probes the server while others still avoid it.
type Contact struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

// Aside reports whether the server is to be avoided.
func (c *Contact) Aside(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return now.Before(c.until)
}

// Begin marks the start of a contact. After a failure it counts as failed until Succeeded is called, so that only one
// request probes the server.
func (c *Contact) Begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.failures > 0 {
		c.fail(now)
	}
}

// Failed sets the server aside. Failures while it is aside do not count: one crash ends many requests at once.
func (c *Contact) Failed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.fail(now)
}

func (c *Contact) fail(now time.Time) {
	if now.Before(c.until) {
		return
	}

	c.failures++
	c.until = now.Add(c.backoff())
}

// Succeeded ends the time aside.
func (c *Contact) Succeeded() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.failures = 0
	c.until = time.Time{}
}

func (c *Contact) backoff() time.Duration {
	backoff := firstBackoff

	for range c.failures - 1 {
		backoff *= 2

		if backoff >= longestBackoff {
			return longestBackoff
		}
	}

	return backoff
}

// Contacts holds the Contact of each address. The zero value is empty and ready.
type Contacts struct {
	mu   sync.Mutex
	byIP map[string]*Contact
}

// Of returns the Contact of the address.
func (c *Contacts) Of(address string) *Contact {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.byIP == nil {
		c.byIP = map[string]*Contact{}
	}

	found, ok := c.byIP[address]
	if !ok {
		found = &Contact{}
		c.byIP[address] = found
	}

	return found
}

// Keep forgets every address that is not listed.
func (c *Contacts) Keep(listed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for address := range c.byIP {
		if !listed[address] {
			delete(c.byIP, address)
		}
	}
}
