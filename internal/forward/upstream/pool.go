package upstream

import (
	"slices"
	"sync"
	"time"
)

// idlePool holds idle values by key and returns the latest one first.
type idlePool[K comparable, V any] struct {
	mu   sync.Mutex
	idle map[K][]V
}

// push adds a value and reports whether there was room for it.
func (s *idlePool[K, V]) push(key K, value V) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.idle == nil {
		s.idle = map[K][]V{}
	}

	if len(s.idle[key]) >= maxIdleConns {
		return false
	}

	s.idle[key] = append(s.idle[key], value)

	return true
}

// pop removes and returns the latest value of a key that fits; false if there is none.
func (s *idlePool[K, V]) pop(key K, fits func(V) bool) (V, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	values := s.idle[key]

	for i, value := range slices.Backward(values) {
		if fits(value) {
			s.idle[key] = slices.Delete(values, i, i+1)
			return value, true
		}
	}

	var none V

	return none, false
}

// filter removes and returns the values for which keep is false.
func (s *idlePool[K, V]) filter(keep func(V) bool) []V {
	s.mu.Lock()
	defer s.mu.Unlock()

	var removed []V

	for key, values := range s.idle {
		kept := values[:0]

		for _, value := range values {
			if keep(value) {
				kept = append(kept, value)
			} else {
				removed = append(removed, value)
			}
		}

		clear(values[len(kept):])

		if len(kept) == 0 {
			delete(s.idle, key)
		} else {
			s.idle[key] = kept
		}
	}

	return removed
}

// Sweep closes the idle connections that can no longer be reused.
func (c *Client) Sweep(now time.Time) {
	for _, old := range c.idle.filter(func(kept *conn) bool { return kept.reusable(now) }) {
		_ = old.Close()
	}
}
