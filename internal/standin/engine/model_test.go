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

func generate(t *testing.T, model *engine.Server, id string) api.Stream {
	t.Helper()

	stream, err := model.Generate(context.Background(), request(id))
	assert.NilError(t, err)

	return stream
}

// elapsed returns the virtual time that n requests at once take.
func elapsed(t *testing.T, model *engine.Server, n int) time.Duration {
	t.Helper()

	start := time.Now()

	streams := make([]api.Stream, 0, n)

	for i := range n {
		streams = append(streams, generate(t, model, fmt.Sprintf("req-%d-%d", n, i)))
	}

	for i, stream := range streams {
		assert.Assert(t, drain(t, fmt.Sprintf("req-%d-%d", n, i), stream).end.End)
	}

	return time.Since(start)
}

// Guards against a stand-in whose batches cost nothing, or whose cold start has no effect on an overload.
func TestBatchAndColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Config{ColdTime: time.Hour, ColdLimit: 2})
		defer model.Close()

		load(t, model, adapter)

		careful := elapsed(t, model, 2)
		collapsed := elapsed(t, model, 3)
		assert.Assert(t, collapsed > 20*careful, "%s %s", careful, collapsed)
		assert.Equal(t, model.Record().MaxColdRequests, int64(3))

		for i := range 8 {
			generate(t, model, fmt.Sprint(i))
		}

		assert.Equal(t, drain(t, "last", generate(t, model, "last")), answer{})
		assert.Equal(t, model.Record().FailedColdRequests, int64(1))

		time.Sleep(time.Hour)

		one, many := elapsed(t, model, 1), elapsed(t, model, 16)
		assert.Assert(t, many > one*5/4 && many < 2*one, "%s %s", one, many)

		model.BeginColdStart(time.Minute, true)

		report, err := model.Report(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, !report.Cold)
		assert.Assert(t, elapsed(t, model, 4) > 20*one)
	})
}

// Guards against an eviction under a running request that goes unnoticed.
func TestUnloadUnderARunningRequestIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Config{BatchSize: 1})
		defer model.Close()

		load(t, model, adapter)

		streams := []api.Stream{generate(t, model, "running"), generate(t, model, "waiting")}
		assert.NilError(t, model.Order(t.Context(), api.Order{Action: api.ActionUnload, Adapter: adapter}))

		for _, stream := range streams {
			assert.Assert(t, !drain(t, "", stream).end.End)
		}

		assert.Equal(t, model.Record().EvictedRequests, int64(2))

		_, err := model.Resume(t.Context(), "running", 0)
		assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)

		load(t, model, adapter)
		assert.Assert(t, elapsed(t, model, 1) > 0)
	})
}

// Guards against a restart that keeps adapters, answers or the boot id, and against a load that outlives it.
func TestRestartIsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Config{})
		defer model.Close()

		load(t, model, adapter)

		before, err := model.Info(t.Context())
		assert.NilError(t, err)

		stream := generate(t, model, "req")
		loaded := make(chan error, 1)

		go func() {
			other := api.Adapter{Name: "other", Version: "v1"}
			loaded <- model.Order(context.Background(), api.Order{Action: api.ActionLoad, Adapter: other})
		}()
		synctest.Wait()
		model.SetFaults(engine.Faults{Restart: true})

		assert.Assert(t, !drain(t, "req", stream).end.End)
		assert.Assert(t, fault.Is(<-loaded, fault.BackendFailed))

		after, err := model.Report(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, after.Boot != before.Boot)
		assert.Equal(t, len(after.Resident)+len(after.Running)+len(after.Loading), 0)

		_, err = model.Resume(t.Context(), "req", 0)
		assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)
	})
}

// Guards against a load that is fetched twice, or that fails for ever once it failed.
func TestLoadsAreCoalescedAndFailOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fetched := 0
		model := engine.New(engine.Config{Fetch: func(context.Context, api.Adapter) error {
			fetched++
			time.Sleep(time.Second)

			return nil
		}})
		defer model.Close()

		model.SetFaults(engine.Faults{FailingLoads: 1})

		results := make(chan error, 2)

		for range 2 {
			go func() {
				results <- model.Order(context.Background(), api.Order{Action: api.ActionLoad, Adapter: adapter})
			}()
		}

		for range 2 {
			assert.Assert(t, fault.Is(<-results, fault.AdapterUnavailable))
		}

		assert.Equal(t, fetched, 1)
		load(t, model, adapter)
		assert.Equal(t, fetched, 2)
	})
}

// Guards against a report without lag, and against answers that are kept longer than the retention.
func TestReportLagAndRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Config{ReportLag: time.Second})
		defer model.Close()

		load(t, model, adapter)

		resident := func() int {
			report, err := model.Report(t.Context())
			assert.NilError(t, err)

			return len(report.Resident)
		}

		assert.Equal(t, resident(), 0)
		time.Sleep(time.Second)
		assert.Equal(t, resident(), 1)

		drain(t, "req", generate(t, model, "req"))
		time.Sleep(api.ResumeRetention)

		stream, err := model.Resume(t.Context(), "req", 0)
		assert.NilError(t, err)
		assert.Assert(t, drain(t, "req", stream).end.End)
		time.Sleep(time.Millisecond)

		_, err = model.Resume(t.Context(), "req", 0)
		assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)
	})
}

// Guards against a waiting list that ignores priorities or grows beyond its limit.
func TestWaitingListHonoursPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := engine.New(engine.Config{BatchSize: 1, QueueSize: 2})
		defer model.Close()

		load(t, model, adapter)

		generate(t, model, "first")

		for _, waiting := range []api.Request{{ID: "low"}, {ID: "high", Priority: 1}} {
			waiting.Adapter, waiting.MaxTokens = adapter, 12
			_, err := model.Generate(t.Context(), waiting)
			assert.NilError(t, err)
		}

		_, err := model.Generate(t.Context(), request("more"))
		assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
		assert.NilError(t, model.Cancel(t.Context(), "first"))

		report, err := model.Report(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, report.Running[0].ID, "high")
		assert.Equal(t, report.Waiting, 1)
	})
}

// Guards against slots or batches that overflow, and answers that are not whole, under random use.
func TestLimitsHoldUnderRandomUse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 60).Draw(rt, "steps")

		synctest.Test(t, func(t *testing.T) {
			model := engine.New(engine.Config{Slots: 2, BatchSize: 3, QueueSize: 2})
			defer model.Close()

			for i, step := range steps {
				name := api.Adapter{Name: fmt.Sprint(i % 4), Version: "v1"}

				switch step {
				case 0, 1:
					_ = model.Order(t.Context(), api.Order{Action: api.ActionLoad, Adapter: name})
				case 2:
					_ = model.Order(t.Context(), api.Order{Action: api.ActionUnload, Adapter: name})
				case 3:
					_, _ = model.Generate(t.Context(), api.Request{ID: fmt.Sprint(i), Adapter: name, MaxTokens: 30})
				case 4:
					_ = model.Cancel(t.Context(), fmt.Sprint(i-1))
				}

				report, err := model.Report(t.Context())
				assert.NilError(t, err)
				assert.Assert(t, len(report.Resident)+len(report.Loading) <= 2)
				assert.Assert(t, len(report.Running) <= 3 && report.Waiting <= 2)
			}
		})
	})
}
