package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/scale"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// Guards against loads of services that are not scaled, or in failure domains in which they have no servers, and against loads that count draining servers
// or lack servers whose agent is not connected.
func TestServiceLoads(t *testing.T) {
	e := testEntry(nil)
	bounds := &catalog.Scale{Min: 1, Max: 5, Boot: time.Second}
	want := scale.Bounds{Min: 1, Max: 5, Boot: time.Second}
	e.config.Store(catalog.New(1, nil, []catalog.Service{
		{Name: "fixed"}, {Name: "plain", Scale: bounds}, {Name: "model", Scale: bounds, Engine: &catalog.Engine{Slots: 8}},
	}, nil, catalog.Limits{}))
	e.Fleet = &fleet.Fleet{}
	assert.Equal(t, len(e.ServiceLoads()), 0, "the list was not read")

	e.Fleet.Put(
		fleet.Server{ID: "a", Service: "plain", Domain: "d1", Slots: 4}, fleet.Server{ID: "b", Service: "plain", Domain: "d1", Slots: 4},
		fleet.Server{ID: "c", Service: "plain", Domain: "d1", Slots: 4, Draining: true}, fleet.Server{ID: "d", Service: "model", Domain: "d2", Slots: 8},
	)
	e.plainLoads.begin("a")
	e.plainLoads.report(time.Now(), "b", upstream.Load{Running: 3, Slots: 4})

	assert.DeepEqual(t, e.ServiceLoads(), []scale.Load{
		{Subject: scale.Subject{Service: "model", Domain: "d2"}, Bounds: want, Servers: 1, Slots: 8},
		{Subject: scale.Subject{Service: "plain", Domain: "d1"}, Bounds: want, Servers: 2, Slots: 4, Running: 4, Known: true},
	})
}
