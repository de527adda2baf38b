// Package holder runs the duties of one VM in an entry: it takes and renews leases in the store, and makes the calls to the platform that only
// the holder of a lease may make. The decisions are those of duty/lease, duty/usage and duty/scale.
package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
)

// ErrHistoryLost is returned by Store.Changes if the store no longer knows all changes since the version.
var ErrHistoryLost = errors.New("the store no longer knows the changes since the version")

// Store holds the rows of duties.
type Store interface {
	// Read returns all rows.
	Read(ctx context.Context) (Page, error)
	// Changes waits for changes after a version of the store, and returns the changed rows; none if there is no change in time.
	Changes(ctx context.Context, after int64, wait time.Duration) (Page, error)
	// Write writes the row of a subject if it has the expected version. After an error it may have been written nevertheless.
	Write(ctx context.Context, subject string, write lease.Write) (Page, error)
}

// Page is an answer of the store.
type Page struct {
	// Version is that of the whole store, Era the number of its restores, and Clock a reading of its clock.
	Version int64
	Era     int64
	Clock   time.Duration
	// Rows holds rows by subject.
	Rows map[string]Row
}

// Row is a row in a version. Row is nil if it was removed.
type Row struct {
	Version int64
	Row     *lease.Row
}

// Platform receives the calls that only the holder of a lease may make. After an error other than a RefusedError, the call may have taken effect.
type Platform interface {
	// Report sends the usage report of a window.
	Report(ctx context.Context, token Token, report lease.Report) error
	// Scale orders servers.
	Scale(ctx context.Context, token Token, order ScaleOrder) error
}

// Token names the holder of a duty in a call.
type Token struct {
	VM    string
	Fence int64
}

// ScaleOrder is the number of servers that a service is to have in a failure domain.
type ScaleOrder struct {
	Service, Domain string
	Servers         int
}

// RefusedError is returned for a call that the platform has answered with another status than 200.
type RefusedError struct {
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the platform responded with status %d", e.Status)
}
