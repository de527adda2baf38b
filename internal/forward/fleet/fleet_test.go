package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
)

// Guards against requests to servers that are draining, evacuated or removed.
func TestUsable(t *testing.T) {
	now := time.Unix(100, 0)
	cases := map[string]struct {
		change func(f *fleet.Fleet)
		after  time.Duration
		want   int
	}{
		"listed":           {func(*fleet.Fleet) {}, 0, 2},
		"one is draining":  {func(f *fleet.Fleet) { f.Put(fleet.Server{ID: "a", Service: "s", Domain: "d1", Draining: true}) }, 0, 1},
		"domain evacuated": {func(f *fleet.Fleet) { f.Evacuate(map[string]fleet.Evacuation{"d1": {}}) }, 0, 1},
		"evacuation ended": {func(f *fleet.Fleet) {
			f.Evacuate(map[string]fleet.Evacuation{"d1": {}})
			f.Evacuate(nil)
		}, 0, 2},
		"removed":         {func(f *fleet.Fleet) { f.Update(now, fleet.Removed{ID: "a", At: now}) }, 0, 1},
		"removal pending": {func(f *fleet.Fleet) { f.Update(now, fleet.Removed{ID: "a", At: now.Add(2 * time.Second)}) }, time.Second, 2},
		"removal due":     {func(f *fleet.Fleet) { f.Update(now, fleet.Removed{ID: "a", At: now.Add(2 * time.Second)}) }, 3 * time.Second, 1},
		"listed again": {func(f *fleet.Fleet) {
			f.Update(now, fleet.Removed{ID: "a", At: now.Add(2 * time.Second)})
			f.Put(fleet.Server{ID: "a", Service: "s", Domain: "d1"})
		}, 3 * time.Second, 2},
		"not in a full read": {func(f *fleet.Fleet) { f.Retain(now, map[string]bool{"b": true}, time.Time{}) }, 0, 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fleet.Fleet{}
			f.Put(fleet.Server{ID: "a", Service: "s", Domain: "d1"}, fleet.Server{ID: "b", Service: "s", Domain: "d2"})
			f.Put(fleet.Server{ID: "c", Service: "other", Domain: "d2"})
			c.change(f)

			assert.Equal(t, len(f.Usable(now.Add(c.after), "s")), c.want)
		})
	}
}

// Guards against an end of a server that moves each time its row is read again, or that stays when the server starts anew.
func TestEndsAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet.Fleet{}
		server := fleet.Server{ID: "a", Service: "s", StartedAt: 5}
		f.Put(server)

		_, known := f.EndsAt(server)
		assert.Assert(t, !known)

		leaving := server
		leaving.Draining, leaving.Remaining = true, 8*time.Second
		f.Put(leaving)

		end := time.Now().Add(8 * time.Second)

		time.Sleep(3 * time.Second)
		assert.Assert(t, !f.Put(leaving), "a row that is read again is no change")

		at, known := f.EndsAt(server)
		assert.Assert(t, known)
		assert.Equal(t, at, end)

		f.Put(fleet.Server{ID: "a", Service: "s", StartedAt: 6, Draining: true, Remaining: time.Second})

		_, known = f.EndsAt(server)
		assert.Assert(t, !known, "another process has taken the id")

		f.Update(time.Now(), fleet.Removed{ID: "a", At: time.Now()})

		_, known = f.EndsAt(fleet.Server{ID: "a", StartedAt: 6})
		assert.Assert(t, !known)
	})
}
