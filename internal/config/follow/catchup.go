package follow

import (
	"context"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// CatchUp brings the document to at least the version, from the table or from entries. It returns an error of kind
// StaleConfig if none of them has the version.
func (f *Follower) CatchUp(ctx context.Context, version int64) error {
	f.init()

	// While the table is unavailable, waiting for it would use up the deadline of the request that needs the version.
	if !f.TableAvailable() {
		f.fetchFromEntries(ctx, version)
	}

	if f.version() >= version {
		return nil
	}

	err := f.pullDetached(ctx)
	f.fetchFromEntries(ctx, version)

	if f.version() < version && f.PeerClient != nil {
		f.syncDomains(ctx)
	}

	f.publishFreshness()

	if now := f.version(); now < version {
		return fault.Wrap(err, fault.StaleConfig, "configuration version %d is required, but the newest available version is %d", version, now)
	}

	return nil
}

// CatchUpHead brings the document to the newest committed version.
func (f *Follower) CatchUpHead(ctx context.Context) error {
	f.init()

	err := f.pullDetached(ctx)
	f.publishFreshness()

	return err
}

// pullDetached reads the table. The read continues after the caller's context ends, because other callers may share its
// result.
func (f *Follower) pullDetached(ctx context.Context) error {
	done := make(chan error, 1)

	go func() {
		reading, cancel := context.WithTimeout(context.WithoutCancel(ctx), catchUpTimeout)
		defer cancel()

		done <- f.pull(reading)
	}()

	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
