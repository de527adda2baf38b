// Package board is the blackboard through which the controllers of a process share state.
package board

import "sync"

// Cell holds one typed value with a version. Values are replaced whole and must not be changed after Set.
type Cell[T any] struct {
	mu      sync.RWMutex
	value   T
	version int64
	changed chan struct{}
}

// Get returns the value and its version; version 0 means that nothing was set.
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

// Set replaces the value and wakes every watcher.
func (c *Cell[T]) Set(value T) {
	c.Update(func(T) T { return value })
}

// Update replaces the value with what change makes of it, atomically.
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

// Changed returns a channel that is closed at the next change.
func (c *Cell[T]) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.changed == nil {
		c.changed = make(chan struct{})
	}

	return c.changed
}
