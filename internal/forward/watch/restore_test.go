package watch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/watch"
)

// restoreWith has the store come back from a copy, with rows of the copy and rows that were written between its return and the next read.
func (s *source) restoreWith(version int64, rows ...watch.Item) {
	s.set(func(s *source) {
		s.era++
		s.version = version
		s.all, s.history = rows, nil
	})
}

func evacuation(domain string, version int64) watch.EvacuationChanged {
	return watch.EvacuationChanged{Domain: domain, Active: true, Version: version}
}

// evacuationEnd is the end of the evacuation of the failure domain d.
func evacuationEnd(version int64) watch.EvacuationChanged {
	return watch.EvacuationChanged{Domain: "d", Version: version}
}

// Guards against evacuations that are dropped for good because they were confirmed between a restore of the store and the first read
// after it.
func TestEvacuationWrittenBeforeTheFirstReadAfterARestore(t *testing.T) {
	cases := map[string]struct {
		// before are the changes that were read before the restore.
		before []watch.Item
		// after are the rows in the first read after the restore, and version is that of the store at that time.
		after   []watch.Item
		version int64
	}{
		"new":                                  {nil, []watch.Item{evacuation("d", 9)}, 9},
		"version given out before":             {[]watch.Item{evacuation("other", 2)}, []watch.Item{evacuation("d", 2)}, 2},
		"evacuated again":                      {[]watch.Item{evacuation("d", 2), evacuationEnd(5)}, []watch.Item{evacuation("d", 4)}, 4},
		"evacuated again with version of copy": {[]watch.Item{evacuation("d", 2), evacuationEnd(3)}, []watch.Item{evacuation("d", 2)}, 2},
		"still evacuated":                      {[]watch.Item{evacuation("d", 2)}, []watch.Item{evacuation("d", 2)}, 3},
		"written again":                        {[]watch.Item{evacuation("d", 5)}, []watch.Item{evacuation("d", 4)}, 4},
		"not written again yet":                {[]watch.Item{evacuation("d", 5)}, nil, 4},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, watch.Operator, time.Second, 0, func(f *fixture) {
				f.fleet.Put(fleet.Server{ID: "a", Service: "s", Domain: "d"})

				for _, item := range c.before {
					f.source.put(item)
					time.Sleep(1500 * time.Millisecond)
				}

				f.source.restoreWith(c.version, c.after...)
				// EVAC allows 5 s.
				time.Sleep(4500 * time.Millisecond)

				_, usable := f.fleet.Get("a")
				assert.Check(t, !usable)

				// A second restore right after the first one.
				f.source.restoreWith(c.version, c.after...)
				time.Sleep(1500 * time.Millisecond)

				_, usable = f.fleet.Get("a")
				assert.Check(t, !usable, "after a second restore")
			})
		})
	}
}

// Guards against a failure domain that stays evacuated for ever because the end of its evacuation was confirmed between a restore of the
// store and the first read after it, which shows no removed rows.
func TestEvacuationTakenBackBeforeTheFirstReadAfterARestore(t *testing.T) {
	run(t, watch.Operator, time.Second, 0, func(f *fixture) {
		f.fleet.Put(fleet.Server{ID: "a", Service: "s", Domain: "d"})
		f.source.put(evacuation("d", 2))
		time.Sleep(2 * time.Second)

		f.source.restoreWith(4)
		time.Sleep(35 * time.Second)

		_, usable := f.fleet.Get("a")
		assert.Check(t, usable)
	})
}

// Guards against a failure domain that is evacuated again by a row of the copy, although the operator has taken the evacuation back and
// writes that again.
func TestEndedEvacuationOfACopyHasNoEffect(t *testing.T) {
	run(t, watch.Operator, time.Second, 0, func(f *fixture) {
		f.fleet.Put(fleet.Server{ID: "a", Service: "s", Domain: "d"})
		f.source.put(evacuation("d", 2))
		time.Sleep(2 * time.Second)
		f.source.put(evacuationEnd(3))
		time.Sleep(2 * time.Second)

		f.source.restoreWith(2, evacuation("d", 2))
		time.Sleep(1500 * time.Millisecond)

		_, usable := f.fleet.Get("a")
		assert.Check(t, usable, "the evacuation had ended")

		f.source.put(evacuationEnd(3))
		time.Sleep(5 * time.Second)

		_, usable = f.fleet.Get("a")
		assert.Check(t, usable, "the end of the evacuation was written again")
	})
}

// Guards against a server that is never used again because it registered anew between a restore of the store and the first read after it.
func TestServerListedAnewBeforeTheFirstReadAfterARestore(t *testing.T) {
	cases := map[string]struct {
		version int64
		want    bool
	}{
		"row of the copy":           {5, false},
		"row written since":         {6, true},
		"version given out for row": {2, true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, watch.Servers, time.Second, 0, func(f *fixture) {
				row := watch.ServerListed{Server: fleet.Server{ID: "c", Service: "s", Address: "10.0.0.1:2", Domain: "d", StartedAt: 7}, Version: 5}
				f.source.put(row)
				time.Sleep(2 * time.Second)
				f.source.put(watch.ServerRemoved{ID: "c"})
				time.Sleep(2 * time.Second)

				row.Version = c.version
				f.source.restoreWith(6, row)
				time.Sleep(4 * time.Second)

				_, usable := f.fleet.Get("c")
				assert.Equal(t, usable, c.want)
			})
		})
	}
}
