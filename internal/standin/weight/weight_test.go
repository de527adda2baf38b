package weight_test

import (
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/weight"
)

// Guards against a store that allows more loads than the real one, or that does not slow down with too many loads in flight.
func TestLoadTimes(t *testing.T) {
	cases := map[string]struct {
		loads int
		total time.Duration
	}{
		"one":                                {1, weight.LoadDuration},
		"nominal concurrency":                {weight.NominalConcurrency, weight.LoadDuration},
		"twice the nominal concurrency":      {2 * weight.NominalConcurrency, 8*weight.LoadInterval + 2*weight.LoadDuration},
		"four times the nominal concurrency": {4 * weight.NominalConcurrency, 24*weight.LoadInterval + 4*weight.LoadDuration},
		"one second beyond the burst":        {weight.NominalConcurrency + 4, 4*weight.LoadInterval + weight.LoadDuration*3/2},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var (
					store weight.Store
					group sync.WaitGroup
				)

				start := time.Now()

				for range tc.loads {
					group.Go(func() { assert.Check(t, store.Load(t.Context(), engine.Adapter{})) })
				}

				group.Wait()
				assert.Equal(t, time.Since(start), tc.total)
				assert.Equal(t, store.Record(), weight.Record{Loads: int64(tc.loads), MaxInFlight: int64(tc.loads)})
			})
		})
	}
}

// Guards against a client that reports a failed load as a success.
func TestClientLoads(t *testing.T) {
	store := &weight.Store{}
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)

	client := &weight.Client{URL: server.URL}
	assert.NilError(t, client.Load(t.Context(), engine.Adapter{Name: "a", Version: "v1"}))

	store.Switches.Set(switches.State{Outage: true})
	assert.Assert(t, client.Load(t.Context(), engine.Adapter{Name: "a", Version: "v1"}) != nil)
	assert.Equal(t, store.Record().Loads, int64(1))
}
