package watch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/watch"
)

// serverRow is a row of the server c.
func serverRow(address string, startedAt, version int64) watch.ServerListed {
	return watch.ServerListed{
		Server: fleet.Server{ID: "c", Service: "s", Address: address, Domain: "d", StartedAt: startedAt, Version: "v1"}, Version: version,
	}
}

// Guards against a server that is dropped although it is listed, or kept although it has left, because one response of the store holds several
// changes of its row: an entry that had been cut off from the store refused all requests of a service for good.
func TestChangesOfOneServerAreAppliedInOrder(t *testing.T) {
	first, restarted, moved := serverRow("10.0.0.1:1", 1, 3), serverRow("10.0.0.1:1", 2, 5), serverRow("10.0.0.2:1", 1, 5)
	removed := watch.ServerRemoved{ID: "c"}

	cases := map[string]struct {
		items []watch.Item
		// want is the server that is used; nil if it is not used.
		want *fleet.Server
	}{
		"removed and back":               {[]watch.Item{removed, first}, &first.Server},
		"removed and back twice":         {[]watch.Item{removed, first, removed, first}, &first.Server},
		"removed and back, then removed": {[]watch.Item{removed, first, removed}, nil},
		"changed and removed":            {[]watch.Item{moved, removed}, nil},
		"started again after removal":    {[]watch.Item{removed, restarted}, &restarted.Server},
		"started again, then removed":    {[]watch.Item{removed, restarted, removed}, nil},
		"another address after removal":  {[]watch.Item{removed, moved}, &moved.Server},
		// A row that cannot be read counts as a removal.
		"unreadable and mended":   {[]watch.Item{removed, first}, &first.Server},
		"other server in between": {[]watch.Item{removed, listed("b", false), watch.ServerRemoved{ID: "a"}, first}, &first.Server},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for outage, refused := range map[string]bool{"in calm": false, "after an outage": true} {
				t.Run(outage, func(t *testing.T) {
					run(t, watch.Servers, time.Second, 0, func(f *fixture) {
						f.source.put(first)
						time.Sleep(2 * time.Second)

						f.source.set(func(s *source) { s.refuse = refused })
						time.Sleep(time.Second)
						f.source.put(c.items...)
						f.source.set(func(s *source) { s.refuse = false })
						// Servers that vanish after an outage stay in use for a while.
						time.Sleep(4 * time.Second)

						used := map[string]fleet.Server{}
						for _, server := range f.fleet.Usable(time.Now(), "s") {
							used[server.ID] = server
						}

						got, ok := used["c"]
						assert.Check(t, cmp.Equal(ok, c.want != nil))

						if c.want != nil {
							assert.Check(t, cmp.Equal(got, *c.want))
						}
					})
				})
			}
		})
	}
}

// Guards against a version of the software of a service that is forgotten because its server was listed and removed in one response of the
// store: streams that it has begun would go on at another version.
func TestVersionOfAServerThatWasListedBriefly(t *testing.T) {
	run(t, watch.Servers, time.Second, 0, func(f *fixture) {
		brief := serverRow("10.0.0.1:1", 1, 3)
		brief.Server.Version = "v2"
		f.source.put(brief, watch.ServerRemoved{ID: "c"})
		time.Sleep(2 * time.Second)

		versions, _ := f.fleet.Versions(time.Now(), "s")
		assert.Check(t, cmp.DeepEqual(versions, []string{"", "v2"}))
	})
}

// Guards against links to agents that are closed, and requests that are refused there, because a server looks removed for a moment while one
// response of the store is applied.
func TestServerThatIsBackNeverLooksRemoved(t *testing.T) {
	run(t, watch.Servers, time.Second, 0, func(f *fixture) {
		missing := 0
		f.fleet.OnChange = func() {
			if _, ok := f.fleet.Find("a"); !ok {
				missing++
			}
		}

		f.source.put(watch.ServerRemoved{ID: "a"}, listed("a", false), watch.ServerRemoved{ID: "b"})
		time.Sleep(2 * time.Second)
		assert.Check(t, cmp.Equal(missing, 0))
	})
}

// Guards against evacuations that are judged by another change than the last one when one response of the store holds several.
func TestEvacuationsAreAppliedInOrder(t *testing.T) {
	cases := map[string]struct {
		items  []watch.Item
		usable bool
	}{
		"begun and ended":            {[]watch.Item{evacuation("d", 2), evacuationEnd(3)}, true},
		"begun, ended, begun again":  {[]watch.Item{evacuation("d", 2), evacuationEnd(3), evacuation("d", 4)}, false},
		"ended twice, begun between": {[]watch.Item{evacuationEnd(2), evacuation("d", 3), evacuationEnd(4)}, true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, watch.Operator, time.Second, 0, func(f *fixture) {
				f.fleet.Put(fleet.Server{ID: "a", Service: "s", Domain: "d"})
				f.source.put(c.items...)
				time.Sleep(2 * time.Second)

				_, usable := f.fleet.Get("a")
				assert.Check(t, cmp.Equal(usable, c.usable))
			})
		})
	}
}
