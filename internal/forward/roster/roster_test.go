package roster

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// memoryStore holds rows in memory; with failing it serves no call.
type memoryStore struct {
	version int64
	rows    map[string]int64
	failing bool
	writes  int
}

func (m *memoryStore) Announce(_ context.Context, name string, removed []string) error {
	if m.failing {
		return errors.New("away")
	}

	m.writes++
	m.version++
	m.rows[name] = m.version

	for _, other := range removed {
		delete(m.rows, other)
	}

	return nil
}

func (m *memoryStore) Entries(context.Context) ([]Row, error) {
	rows := make([]Row, 0, len(m.rows))
	for name, version := range m.rows {
		rows = append(rows, Row{Name: name, Version: version})
	}

	return rows, nil
}

// counted is a Roster with the last number that it counted.
type counted struct {
	Roster
	last int
}

func newCounted(store Store, name string, alone *bool) *counted {
	log := logrus.New()
	log.SetOutput(io.Discard)

	c := &counted{}
	c.Roster = Roster{
		Store: store, Name: name, Alone: func() bool { return *alone }, OnCount: func(_ time.Time, count int) { c.last = count }, Log: log,
	}

	return c
}

// Guards against entries without agents that do not count each other, or count those that are gone for ever.
func TestEntriesCountEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone := true
		store := &memoryStore{rows: map[string]int64{}}
		first, second := newCounted(store, "a", &alone), newCounted(store, "b", &alone)

		ctx, stop := context.WithCancel(t.Context())
		go first.Run(ctx)

		time.Sleep(time.Second)
		assert.Equal(t, first.last, 1)

		secondCtx, end := context.WithCancel(ctx)
		go second.Run(secondCtx)

		time.Sleep(6 * time.Second)
		assert.Equal(t, first.last, 2)
		assert.Equal(t, second.last, 2)

		end()
		time.Sleep(30 * time.Second)
		assert.Equal(t, first.last, 2, "an entry that writes no more counts for a while")

		time.Sleep(time.Minute)
		assert.Equal(t, first.last, 1)

		time.Sleep(15 * time.Minute)
		assert.Assert(t, slices.Equal([]string{"a"}, keys(store.rows)))
		stop()
		synctest.Wait()
	})
}

// Guards against rows that are written in a fleet with agents, and against a number that is made up while the store is away.
func TestRowsAreWrittenOnlyWithoutAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone := false
		store := &memoryStore{rows: map[string]int64{}, failing: true}
		entry := newCounted(store, "a", &alone)

		ctx, stop := context.WithCancel(t.Context())
		go entry.Run(ctx)

		time.Sleep(time.Minute)
		assert.Equal(t, store.writes, 0)

		alone = true

		time.Sleep(time.Minute)
		assert.Equal(t, entry.last, 0)

		store.failing = false

		time.Sleep(time.Second)
		assert.Equal(t, entry.last, 1)
		stop()
		synctest.Wait()
	})
}

func keys(rows map[string]int64) []string {
	names := make([]string, 0, len(rows))
	for name := range rows {
		names = append(names, name)
	}

	return names
}
