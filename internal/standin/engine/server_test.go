package engine_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
)

// TestMain fixes the seed of randomised runs; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")

	os.Exit(m.Run())
}

func generate(t *testing.T, standin *engine.Server, id string) api.Stream {
	t.Helper()

	stream, err := standin.Generate(context.Background(), request(id))
	assert.NilError(t, err)

	return stream
}

// elapsed returns the virtual time that n concurrent requests take.
func elapsed(t *testing.T, standin *engine.Server, n int) time.Duration {
	t.Helper()

	start := time.Now()

	streams := make([]api.Stream, 0, n)

	for i := range n {
		streams = append(streams, generate(t, standin, fmt.Sprintf("req-%d-%d", n, i)))
	}

	for i, stream := range streams {
		assert.Assert(t, readStream(t, fmt.Sprintf("req-%d-%d", n, i), stream).end.End)
	}

	return time.Since(start)
}

// Guards against a simulation in which a larger batch does not slow down each request, or in which requests beyond the limit of
// a cold engine have no effect.
func TestBatchAndColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := engine.New(engine.Config{ColdTime: time.Hour, ColdLimit: 2})
		defer standin.Close()

		load(t, standin, adapter)

		withinLimit := elapsed(t, standin, 2)
		overLimit := elapsed(t, standin, 3)
		assert.Assert(t, overLimit > 20*withinLimit, "%s %s", withinLimit, overLimit)
		assert.Equal(t, standin.Record().MaxColdRequests, int64(3))

		for i := range 8 {
			generate(t, standin, fmt.Sprint(i))
		}

		assert.Equal(t, readStream(t, "last", generate(t, standin, "last")), streamResult{})
		assert.Equal(t, standin.Record().FailedColdRequests, int64(1))

		time.Sleep(time.Hour)

		one, many := elapsed(t, standin, 1), elapsed(t, standin, 16)
		assert.Assert(t, many > one*5/4 && many < 2*one, "%s %s", one, many)

		standin.BeginColdStart(time.Minute, true)

		report, err := standin.Report(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, !report.Cold)
		assert.Assert(t, elapsed(t, standin, 4) > 20*one)
	})
}

// Guards against requests whose adapter is unloaded while they run or wait, and that are not counted.
func TestUnloadOfAnAdapterInUseIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := engine.New(engine.Config{BatchSize: 1})
		defer standin.Close()

		load(t, standin, adapter)

		streams := []api.Stream{generate(t, standin, "running"), generate(t, standin, "waiting")}
		assert.NilError(t, standin.Order(t.Context(), api.Order{Action: api.ActionUnload, Adapter: adapter}))

		for _, stream := range streams {
			assert.Assert(t, !readStream(t, "", stream).end.End)
		}

		assert.Equal(t, standin.Record().EvictedRequests, int64(2))

		_, err := standin.Resume(t.Context(), "running", 0)
		assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)

		load(t, standin, adapter)
		assert.Assert(t, elapsed(t, standin, 1) > 0)
	})
}

// Guards against a restart that keeps adapters, requests or the boot id, and against a load that continues after it.
func TestRestartDropsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := engine.New(engine.Config{})
		defer standin.Close()

		load(t, standin, adapter)

		before, err := standin.Info(t.Context())
		assert.NilError(t, err)

		stream := generate(t, standin, "req")
		loaded := make(chan error, 1)

		go func() {
			other := api.Adapter{Name: "other", Version: "v1"}
			loaded <- standin.Order(context.Background(), api.Order{Action: api.ActionLoad, Adapter: other})
		}()
		synctest.Wait()
		standin.SetFaults(engine.Faults{Restart: true})

		assert.Assert(t, !readStream(t, "req", stream).end.End)
		assert.Assert(t, fault.Is(<-loaded, fault.BackendFailed))

		after, err := standin.Report(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, after.Boot != before.Boot)
		assert.Equal(t, len(after.Resident)+len(after.Running)+len(after.Loading), 0)

		_, err = standin.Resume(t.Context(), "req", 0)
		assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)
	})
}

// Guards against concurrent loads of an adapter that fetch it twice, and against an adapter that cannot be loaded again after a
// failed load.
func TestLoadsAreCoalescedAndFailOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fetched := 0
		standin := engine.New(engine.Config{Fetch: func(context.Context, api.Adapter) error {
			fetched++
			time.Sleep(time.Second)

			return nil
		}})
		defer standin.Close()

		standin.SetFaults(engine.Faults{FailingLoads: 1})

		results := make(chan error, 2)

		for range 2 {
			go func() {
				results <- standin.Order(context.Background(), api.Order{Action: api.ActionLoad, Adapter: adapter})
			}()
		}

		for range 2 {
			assert.Assert(t, fault.Is(<-results, fault.AdapterUnavailable))
		}

		assert.Equal(t, fetched, 1)
		load(t, standin, adapter)
		assert.Equal(t, fetched, 2)
	})
}

// Guards against a report without lag, and against requests that can be resumed after the retention time.
func TestReportLagAndRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := engine.New(engine.Config{ReportLag: time.Second})
		defer standin.Close()

		load(t, standin, adapter)

		resident := func() int {
			report, err := standin.Report(t.Context())
			assert.NilError(t, err)

			return len(report.Resident)
		}

		assert.Equal(t, resident(), 0)
		time.Sleep(time.Second)
		assert.Equal(t, resident(), 1)

		readStream(t, "req", generate(t, standin, "req"))
		time.Sleep(api.ResumeRetention)

		stream, err := standin.Resume(t.Context(), "req", 0)
		assert.NilError(t, err)
		assert.Assert(t, readStream(t, "req", stream).end.End)
		time.Sleep(time.Millisecond)

		_, err = standin.Resume(t.Context(), "req", 0)
		assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)
	})
}

// Guards against a queue that ignores priorities or grows beyond its limit.
func TestQueueHonoursPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := engine.New(engine.Config{BatchSize: 1, QueueSize: 2})
		defer standin.Close()

		load(t, standin, adapter)

		generate(t, standin, "first")

		for _, waiting := range []api.Request{{ID: "low"}, {ID: "high", Priority: 1}} {
			waiting.Adapter, waiting.MaxTokens = adapter, 12
			_, err := standin.Generate(t.Context(), waiting)
			assert.NilError(t, err)
		}

		_, err := standin.Generate(t.Context(), request("more"))
		assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
		assert.NilError(t, standin.Cancel(t.Context(), "first"))

		report, err := standin.Report(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, report.Running[0].ID, "high")
		assert.Equal(t, report.Waiting, 1)
	})
}

// Guards against more adapters, running requests or waiting requests than the limits allow, under random calls.
func TestLimitsHoldUnderRandomUse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 60).Draw(rt, "steps")

		synctest.Test(t, func(t *testing.T) {
			standin := engine.New(engine.Config{Slots: 2, BatchSize: 3, QueueSize: 2})
			defer standin.Close()

			for i, step := range steps {
				name := api.Adapter{Name: fmt.Sprint(i % 4), Version: "v1"}

				switch step {
				case 0, 1:
					_ = standin.Order(t.Context(), api.Order{Action: api.ActionLoad, Adapter: name})
				case 2:
					_ = standin.Order(t.Context(), api.Order{Action: api.ActionUnload, Adapter: name})
				case 3:
					_, _ = standin.Generate(t.Context(), api.Request{ID: fmt.Sprint(i), Adapter: name, MaxTokens: 30})
				case 4:
					_ = standin.Cancel(t.Context(), fmt.Sprint(i-1))
				}

				report, err := standin.Report(t.Context())
				assert.NilError(t, err)
				assert.Assert(t, len(report.Resident)+len(report.Loading) <= 2)
				assert.Assert(t, len(report.Running) <= 3 && report.Waiting <= 2)
			}
		})
	})
}
