// Package roster counts the entries of a fleet without agents by rows of the platform's store. Where there are agents, they tell entries how
// many there are, and no row is written.
package roster

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// period is the time between two writes of an entry, and between two counts.
	period = 5 * time.Second
	// expectPeriod is the time between two looks whether the fleet has agents.
	expectPeriod = 500 * time.Millisecond
	// callTimeout limits one call of the store.
	callTimeout = 2 * time.Second
	// lifetime is how long an entry counts whose row does not change, and removalTime after how long its row is removed.
	lifetime    = time.Minute
	removalTime = 10 * time.Minute
)

// Row is the row of an entry.
type Row struct {
	Name string
	// Version rises with each write of the row.
	Version int64
}

// Store holds the rows of entries.
type Store interface {
	// Announce writes the row of an entry anew, and removes the rows of others.
	Announce(ctx context.Context, name string, removed []string) error
	// Entries returns the rows of all entries.
	Entries(ctx context.Context) ([]Row, error)
}

// Roster writes the row of one entry and counts the others. Its exported fields are set before Run.
type Roster struct {
	Store Store
	// Name is that of this entry.
	Name string
	// Alone reports whether the fleet is known to have no agents.
	Alone func() bool
	// OnCount is called with each number of entries.
	OnCount func(now time.Time, count int)
	Log     logrus.FieldLogger

	// changes holds when the row of an entry was first seen in its version.
	changes map[string]change
}

type change struct {
	version int64
	at      time.Time
}

// Run writes and counts as long as the fleet has no agents, until the context ends.
func (r *Roster) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := expectPeriod

		if r.Alone() {
			if err := r.countOnce(ctx); err != nil {
				r.Log.WithError(err).Warn("entries not counted")
			} else {
				pause = period
			}
		}

		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// countOnce writes the row of this entry and then counts all rows, so that of two entries that start at the same time one sees the other.
func (r *Roster) countOnce(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, callTimeout)
	defer cancel()

	if err := r.Store.Announce(ctx, r.Name, r.outdated(time.Now())); err != nil {
		return err //nolint:wrapcheck // the store names the call
	}

	rows, err := r.Store.Entries(ctx)
	if err != nil {
		return err //nolint:wrapcheck // the store names the call
	}

	now := time.Now()
	count := r.observe(now, rows)
	r.OnCount(now, count)

	return nil
}

// observe records the rows and returns the number of entries that are alive, as far as is known. A row that is seen first counts as alive.
func (r *Roster) observe(now time.Time, rows []Row) int {
	seen := make(map[string]change, len(rows))
	alive := 0

	for _, row := range rows {
		known, ok := r.changes[row.Name]
		if !ok || known.version != row.Version {
			known = change{version: row.Version, at: now}
		}

		seen[row.Name] = known

		if now.Sub(known.at) <= lifetime {
			alive++
		}
	}

	r.changes = seen

	return alive
}

// outdated returns the entries whose rows are to be removed.
func (r *Roster) outdated(now time.Time) []string {
	var names []string

	for name, known := range r.changes {
		if name != r.Name && now.Sub(known.at) > removalTime {
			names = append(names, name)
		}
	}

	return names
}
