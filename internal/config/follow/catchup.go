package follow

import (
	"context"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// CatchUp brings the document to at least the version, from the table or from entries.
func (f *Follower) CatchUp(ctx context.Context, version int64) error {
	f.init()

	// While the table does not answer, waiting for it would use up the time of the request that needs the version.
	if !f.TableAvailable() {
		f.askEntries(ctx, version)
	}

	if f.version() >= version {
		return nil
	}

	err := f.pullShared(ctx)
	f.askEntries(ctx, version)

	if f.version() < version && f.PeerClient != nil {
		f.syncDomains(ctx)
	}

	f.publishFresh()

	if now := f.version(); now < version {
		return fault.Wrap(err, fault.StaleConfig, "version %d is needed and %d is the newest that could be read", version, now)
	}

	return nil
}

// CatchUpHead brings the document to the newest committed version.
func (f *Follower) CatchUpHead(ctx context.Context) error {
	f.init()

	err := f.pullShared(ctx)
	f.publishFresh()

	return err
}

// pullShared reads the table. The read goes on if the caller goes away, because other callers may share the result.
func (f *Follower) pullShared(ctx context.Context) error {
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
