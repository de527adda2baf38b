// Package object is the platform's object store, as its clients see it.
package object

import "context"

// Store reads and writes whole objects. Get of an absent object is an error of kind fault.NotFound.
type Store interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
	// List returns the keys that start with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
}
