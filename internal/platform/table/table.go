// Package table is the client interface of the platform's transactional table service. The package platform at the root of
// the module, which adapts to the platform that hosts the processes, does not use it.
package table

import "context"

// Row is one row. Version is the revision of the transaction that last wrote it; 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Check is a precondition of a transaction: the row must have this version; 0 requires that it does not exist.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is an atomic transaction: if all checks pass, all writes are applied; otherwise none is.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table reads and writes rows. An error of kind fault.Conflict means that a check failed and nothing was written;
// an error of kind fault.TableUnavailable after Commit means that the transaction may or may not have taken effect.
type Table interface {
	// Get returns the row; Version is 0 if it does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose key starts with prefix and is greater than after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (int64, error)
}
