package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
)

// Guards against one version that counts as the only one of a service although a server of another may have begun a stream that still goes
// on (ORDER).
func TestSoleVersion(t *testing.T) {
	server := func(id, service, version string) fleet.Server {
		return fleet.Server{ID: id, Service: service, Version: version}
	}

	cases := map[string]struct {
		fromStart bool
		change    func(f *fleet.Fleet)
		after     time.Duration
		want      bool
	}{
		"since the system has started": {fromStart: true, want: true},
		"adopted":                      {change: func(f *fleet.Fleet) { f.AdoptVersion(time.Now(), "chat", "v1") }, want: true},
		"adopted, but another one is listed": {change: func(f *fleet.Fleet) {
			f.Put(server("b", "chat", "v2"))
			f.AdoptVersion(time.Now(), "chat", "v1")
		}},
		"adopted, and another one comes": {change: func(f *fleet.Fleet) {
			f.AdoptVersion(time.Now(), "chat", "v1")
			f.Put(server("b", "chat", "v2"))
		}},
		"one version":                  {after: 2 * time.Minute, want: true},
		"the list is new":              {after: 10 * time.Second},
		"another service":              {change: func(f *fleet.Fleet) { f.Put(server("p", "desk", "v2")) }, after: 2 * time.Minute, want: true},
		"two versions":                 {change: func(f *fleet.Fleet) { f.Put(server("b", "chat", "v2")) }, after: 2 * time.Minute},
		"the exact text counts":        {change: func(f *fleet.Fleet) { f.Put(server("b", "chat", "v1.0")) }, after: 2 * time.Minute},
		"another version is just gone": {change: func(f *fleet.Fleet) { putAndRemove(f, server("b", "chat", "v2"), 90*time.Second) }, after: 20 * time.Second},
		"another version is long gone": {change: func(f *fleet.Fleet) { putAndRemove(f, server("b", "chat", "v2"), time.Second) }, after: 2 * time.Minute, want: true},
		"same id, another version": {change: func(f *fleet.Fleet) {
			time.Sleep(90 * time.Second)
			f.Put(server("a", "chat", "v2"))
		}, after: 20 * time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet.Fleet{FromStart: c.fromStart}
				f.Put(server("a", "chat", "v1"))

				if c.change != nil {
					c.change(f)
				}

				time.Sleep(c.after)

				_, sole := f.SoleVersion(time.Now(), "chat")
				assert.Equal(t, sole, c.want)
			})
		})
	}
}

// putAndRemove lists a server for a while.
func putAndRemove(f *fleet.Fleet, server fleet.Server, listed time.Duration) {
	f.Put(server)
	time.Sleep(listed)
	f.Update(time.Now(), fleet.Removed{ID: server.ID, At: time.Now()})
}
