// Package object is the client interface of the platform's object store. The package platform at the root of the module,
// which adapts to the platform that hosts the processes, does not use it.
package object

import "context"

// Store reads and writes whole objects. Get returns an error of kind fault.NotFound if the object does not exist.
type Store interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
	// List returns the keys that start with prefix, in ascending order.
	List(ctx context.Context, prefix string) ([]string, error)
}
