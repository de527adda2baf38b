// Package board holds the in-memory state that the controllers of a process share.
package board

import "sync"

// Cell holds a versioned value that can be watched for changes. A value is replaced as a whole and must not be modified after
// Set. A Cell is safe for concurrent use; the zero value holds no value and is ready.
type Cell[T any] struct {
	mu      sync.RWMutex
	value   T
	version int64
	// changed is closed at the next change; nil if there is no watcher.
	changed chan struct{}
}

// Get returns the value and its version; version 0 means that no value has been set.
func (c *Cell[T]) Get() (T, int64) {
	c.mu.RLock()
	defer c.mu.RUnlock()

	return c.value, c.version
}

// Value returns the value without its version.
func (c *Cell[T]) Value() T {
	value, _ := c.Get()
	return value
}

// Set replaces the value and notifies all watchers.
func (c *Cell[T]) Set(value T) {
	c.Update(func(T) T { return value })
}

// Update atomically replaces the value with the result of change.
func (c *Cell[T]) Update(change func(T) T) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.value = change(c.value)
	c.version++

	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Changed returns a channel that is closed when the value is next replaced.
func (c *Cell[T]) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.changed == nil {
		c.changed = make(chan struct{})
	}

	return c.changed
}
