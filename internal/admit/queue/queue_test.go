package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/queue"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/ramp"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// TestMain sets the seed of the randomized tests; the flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")

	os.Exit(m.Run())
}

var now = time.Unix(1000, 0)

func item(id, account string, class int32, cost int64) *queue.Item {
	return &queue.Item{ID: id, Account: account, Class: class, Cost: cost, Deadline: now.Add(time.Minute)}
}

// Guards against late refusals: a request that cannot start before its deadline is refused on arrival, with a retry delay.
func TestDeadline(t *testing.T) {
	tests := map[string]struct {
		throughput queue.Throughput
		ahead      int64
		delay      time.Duration
		refused    time.Duration
	}{
		"rate unknown":            {ahead: 1e9},
		"starts in time":          {throughput: queue.Throughput{Rate: 10}, ahead: 590},
		"backlog too long":        {throughput: queue.Throughput{Rate: 10}, ahead: 650, refused: 5 * time.Second},
		"no free slot in time":    {throughput: queue.Throughput{Rate: 10, BusyTokens: 610}, refused: time.Second},
		"adapter loaded too late": {delay: 61 * time.Second, refused: time.Second},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := &queue.Queue{Limit: 10}

			if test.ahead > 0 {
				_, err := q.Push(now, item("first", "a", 0, test.ahead), queue.Throughput{})
				assert.NilError(t, err)
			}

			last := item("last", "a", 0, 1)
			last.Delay = test.delay
			_, err := q.Push(now, last, test.throughput)

			if test.refused == 0 {
				assert.NilError(t, err)
				return
			}

			assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
			assert.Equal(t, fault.FromError(err).RetryDelay(), test.refused)
		})
	}
}

// Guards against requests that wait at a busy server while others are idle. The time to load an adapter does not count
// towards the maximum wait.
func TestMaxWait(t *testing.T) {
	q := &queue.Queue{Limit: 10}
	throughput := queue.Throughput{Rate: 10}

	first := item("first", "a", 0, 50)
	first.Delay = 10 * time.Second
	first.MaxWait = 4 * time.Second
	_, err := q.Push(now, first, throughput)
	assert.NilError(t, err)

	second := item("second", "a", 0, 1)
	second.MaxWait = 4 * time.Second
	_, err = q.Push(now, second, throughput)
	assert.Assert(t, fault.Is(err, fault.Overloaded))
	assert.Equal(t, fault.FromError(err).RetryDelay(), time.Second)

	_, err = q.Push(now, item("patient", "a", 0, 1), throughput)
	assert.NilError(t, err)
}

// Guards against a full queue that refuses requests of a higher class, or drops the request that has waited longest.
func TestFull(t *testing.T) {
	q := &queue.Queue{Limit: 3}

	for _, waiting := range []*queue.Item{item("old", "a", 0, 1), item("new", "b", 0, 1), item("middle", "a", 1, 1)} {
		_, err := q.Push(now, waiting, queue.Throughput{})
		assert.NilError(t, err)
	}

	_, err := q.Push(now, item("same", "c", 0, 1), queue.Throughput{})
	assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)

	dropped, err := q.Push(now, item("high", "c", 2, 1), queue.Throughput{})
	assert.NilError(t, err)
	assert.Equal(t, dropped.ID, "new")

	var order []string
	for next := q.Pop(); next != nil; next = q.Pop() {
		order = append(order, next.ID)
	}

	assert.DeepEqual(t, order, []string{"high", "middle", "old"})
}

// Guards against an account that gets less than its weighted share while another one sends far more requests.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue.Queue{Limit: 1 << 20}
		weights := []float64{1, rapid.Float64Range(0.5, 4).Draw(t, "weight")}
		served := []float64{0, 0}
		count := 0

		push := func(account int) {
			count++
			added := item(fmt.Sprint(count), fmt.Sprint(account), 0, rapid.Int64Range(1, 100).Draw(t, "cost"))
			added.Weight = weights[account]
			_, err := q.Push(now, added, queue.Throughput{})
			assert.NilError(t, err)
		}

		// Account 1 has five times the backlog; both are backlogged throughout.
		for range 300 {
			push(0)

			for range 5 {
				push(1)
			}
		}

		for range 200 {
			next := q.Pop()
			account := int(next.Account[0] - '0')
			served[account] += float64(next.Cost) / weights[account]

			// Bound of start-time fair queueing: the sum of the largest cost of each account divided by its weight.
			assert.Assert(t, served[0]-served[1] <= 100/weights[0]+100/weights[1], "served %v", served)
			assert.Assert(t, served[1]-served[0] <= 100/weights[0]+100/weights[1], "served %v", served)
		}
	})
}

// Guards against items that are lost, returned twice or returned while blocked, over random operations.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue.Queue{Limit: rapid.IntRange(1, 8).Draw(t, "limit")}
		waiting := map[*queue.Item]bool{}
		anyItem := func() *queue.Item {
			for candidate := range waiting {
				return candidate
			}

			return nil
		}

		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				added := item("x", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), rapid.Int32Range(0, 2).Draw(t, "class"), 5)
				added.Blocked = rapid.Bool().Draw(t, "blocked")

				dropped, err := q.Push(now, added, queue.Throughput{})
				if err == nil {
					waiting[added] = true
				}

				if dropped != nil {
					assert.Assert(t, waiting[dropped] && dropped.Class < added.Class)
					delete(waiting, dropped)
				}
			},
			"pop": func(t *rapid.T) {
				next := q.Pop()
				if next == nil {
					return
				}

				assert.Assert(t, waiting[next] && !next.Blocked)
				delete(waiting, next)

				for other := range waiting {
					assert.Assert(t, other.Blocked || other.Class <= next.Class)
				}
			},
			"remove": func(t *rapid.T) {
				if removed := anyItem(); removed != nil {
					assert.Assert(t, q.Remove(removed))
					assert.Assert(t, !q.Remove(removed))
					delete(waiting, removed)
				}
			},
			"block": func(*rapid.T) {
				if chosen := anyItem(); chosen != nil {
					q.Block(chosen)
				}
			},
			"unblock": func(*rapid.T) {
				if chosen := anyItem(); chosen != nil {
					q.Unblock(chosen)
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(waiting))
				assert.Assert(t, q.Len() <= q.Limit)
			},
		})
	})
}

// BenchmarkAdmission runs one admission decision with 50 waiting requests of 10 accounts; the target is 2 µs.
func BenchmarkAdmission(b *testing.B) {
	q := &queue.Queue{Limit: 100}
	adapters := &slots.Slots{Capacity: 8}
	concurrency := &ramp.Ramp{}
	concurrency.Configure(2, 64)
	adapters.Report(now, engine.Report{Resident: []engine.Adapter{{Name: "x", Version: "1"}}})

	for i := range 50 {
		_, _ = q.Push(now, item(fmt.Sprint(i), fmt.Sprint(i%10), 0, 100), queue.Throughput{})
	}

	b.ReportAllocs()

	for b.Loop() {
		waiter := &slots.Waiter{Adapter: engine.Adapter{Name: "x", Version: "1"}, Deadline: now.Add(time.Minute)}
		_, _ = adapters.Acquire(now, waiter)
		_, _ = q.Push(now, item("new", "3", 0, 100), queue.Throughput{Rate: 1000 * float64(concurrency.Limit()), BusyTokens: 100})
		q.Pop()
		adapters.Release(waiter)
	}
}
