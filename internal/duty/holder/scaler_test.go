package holder_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/scale"
)

// startScaler starts a process that orders servers of a service with 4 servers of 10 slots.
func (s *site) startScaler(vm string, running *atomic.Int64) *process {
	log := logrus.New()
	log.SetOutput(io.Discard)

	p := &process{site: s, self: lease.Holder{VM: vm, Process: fmt.Sprint("process-", len(s.processes))}, reader: true, ended: make(chan struct{})}
	s.processes = append(s.processes, p)
	boot := time.Now().Add(-time.Hour)

	scaler := &holder.Scaler{
		Store: p, Platform: p, Self: p.self, MinTenure: minTenure, CallRate: s.callRate, FirstStart: true, Log: log, Metrics: metrics.NewRegistry(),
		Clock:       func() time.Duration { return time.Since(boot) },
		IsCandidate: func() bool { return p.reader },
		Candidates:  func() int { return s.candidates },
		Loads: func() []scale.Load {
			return []scale.Load{{
				Subject: scale.Subject{Service: "chat", Domain: "d1"}, Bounds: scale.Bounds{Min: 2, Max: 8, Boot: 20 * time.Second},
				Servers: 4, Slots: 10, Running: float64(running.Load()), Known: true,
			}}
		},
	}

	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel

	go func() {
		scaler.Run(ctx)
		close(p.ended)
	}()

	return p
}

// servers returns the numbers of servers that were ordered.
func (s *site) servers() []int {
	s.mu.Lock()
	defer s.mu.Unlock()

	numbers := make([]int, len(s.orders))
	for i, made := range s.orders {
		numbers[i] = made.order.Servers
	}

	return numbers
}

// Guards against orders that two entries both send or that flip between them, and against calls while nothing changes.
func TestServersAreOrderedOnceForEachChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1)
		s.key = "scale/chat/d1"

		defer s.stop()

		var running atomic.Int64

		running.Store(25)

		processes := []*process{s.startScaler("a", &running), s.startScaler("b", &running)}

		time.Sleep(time.Minute)
		assert.Equal(t, len(s.servers()), 0)

		for _, p := range processes {
			assert.Equal(t, p.reads+p.writes+p.polls, 0)
		}

		running.Store(40)
		time.Sleep(time.Minute)
		assert.DeepEqual(t, s.servers(), []int{6})

		running.Store(12)
		time.Sleep(15 * time.Second)
		assert.DeepEqual(t, s.servers(), []int{6})

		time.Sleep(time.Minute)
		assert.DeepEqual(t, s.servers(), []int{6, 2})

		calls := 0
		for _, p := range processes {
			calls += p.reads + p.writes
		}

		time.Sleep(time.Minute)

		for _, p := range processes {
			calls -= p.reads + p.writes
		}

		assert.Equal(t, calls, 0)
		assert.Equal(t, len(s.violations), 0, "%v", s.violations)
	})
}

// Guards against an order that is lost when it is refused, its sender ends or calls of the store fail, and against broken rules then.
func TestServersAreOrderedUnderFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(seed)
				s.key = "scale/chat/d1"

				defer s.stop()

				var running atomic.Int64

				running.Store(25)

				first := s.startScaler("a", &running)
				s.startScaler("b", &running)
				time.Sleep(2 * time.Second)

				s.mu.Lock()
				s.faulty = true
				s.mu.Unlock()

				running.Store(50)
				time.Sleep(s.between(time.Second, 4*time.Second))
				first.kill()
				time.Sleep(30 * time.Second)

				s.mu.Lock()
				s.faulty = false
				s.mu.Unlock()
				time.Sleep(30 * time.Second)

				ordered := s.servers()
				assert.Assert(t, len(ordered) > 0)
				assert.Equal(t, ordered[len(ordered)-1], 8)
				assert.Equal(t, len(s.violations), 0, "%v", s.violations)
			})
		})
	}
}

// Guards against entries that each use the rate of calls which the platform takes from all of them together, so that reports are refused.
func TestEntriesShareTheRateOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			rate    = 0.5
			entries = 4
			span    = 10 * time.Minute
		)

		var running atomic.Int64

		running.Store(25)

		// Each subject has a store of its own: the fake one has a single row.
		reporting := newSite(1)
		reporting.refusing, reporting.callRate = true, rate
		reporting.start("a", true, true)

		defer reporting.stop()

		ordering := make([]*site, entries)
		for i := range ordering {
			ordering[i] = newSite(uint64(i))
			ordering[i].key, ordering[i].refusing = "scale/chat/d1", true
			ordering[i].callRate, ordering[i].candidates = rate, entries
			ordering[i].startScaler(fmt.Sprint("vm-", i), &running)

			defer ordering[i].stop()
		}

		time.Sleep(10 * time.Second)
		running.Store(50)

		begun, before := time.Now(), reporting.attemptsSoFar()
		time.Sleep(span)

		reports := reporting.attemptsSoFar() - before
		calls := reports

		for _, s := range ordering {
			assert.Assert(t, s.attemptsSoFar() > 0, "an entry orders nothing")
			calls += s.attemptsSoFar()
		}

		allowed := rate*time.Since(begun).Seconds() + entries + 1
		assert.Assert(t, float64(calls) <= allowed, "%d calls, %g allowed", calls, allowed)
		assert.Assert(t, reports >= int(span/windowLength), "%d calls for %d reports", reports, span/windowLength)
	})
}

func (s *site) attemptsSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.attempts
}

// rowStore is a store with rows of several subjects and without faults.
type rowStore struct {
	begun   time.Time
	version int64
	rows    map[string]holder.Row
}

// Read implements holder.Store.
func (r *rowStore) Read(context.Context) (holder.Page, error) {
	return holder.Page{Version: r.version, Clock: time.Since(r.begun), Rows: maps.Clone(r.rows)}, nil
}

// Changes implements holder.Store.
func (r *rowStore) Changes(ctx context.Context, _ int64, _ time.Duration) (holder.Page, error) {
	return r.Read(ctx)
}

// Write implements holder.Store.
func (r *rowStore) Write(ctx context.Context, subject string, write lease.Write) (holder.Page, error) {
	if r.rows[subject].Version != write.Expected {
		return holder.Page{}, errFault
	}

	r.version++
	r.rows[subject] = holder.Row{Version: r.version, Row: &write.Row}

	return r.Read(ctx)
}

// refusingPlatform refuses all calls, and counts orders by failure domain.
type refusingPlatform struct {
	orders map[string]int
}

// Report implements holder.Platform.
func (r *refusingPlatform) Report(context.Context, holder.Token, lease.Report) error {
	return &holder.RefusedError{Status: 429}
}

// Scale implements holder.Platform.
func (r *refusingPlatform) Scale(_ context.Context, _ holder.Token, order holder.ScaleOrder) error {
	r.orders[order.Domain]++

	return &holder.RefusedError{Status: 429}
}

// Guards against a subject whose order is never sent since the platform refuses that of another subject again and again.
func TestRefusedOrderDoesNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)

		begun := time.Now()
		platform := &refusingPlatform{orders: map[string]int{}}
		scaler := &holder.Scaler{
			Store: &rowStore{begun: begun, rows: map[string]holder.Row{}}, Platform: platform, Self: lease.Holder{VM: "a", Process: "p"},
			MinTenure: minTenure, FirstStart: true, Log: log, Metrics: metrics.NewRegistry(),
			Clock:       func() time.Duration { return time.Since(begun) + time.Hour },
			IsCandidate: func() bool { return true },
			Candidates:  func() int { return 1 },
			Loads: func() []scale.Load {
				loads := make([]scale.Load, 3)
				for i, domain := range []string{"d1", "d2", "d3"} {
					loads[i] = scale.Load{
						Subject: scale.Subject{Service: "chat", Domain: domain}, Bounds: scale.Bounds{Min: 2, Max: 8, Boot: 20 * time.Second},
						Servers: 4, Slots: 10, Running: 50, Known: true,
					}
				}

				return loads
			},
		}

		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()

		scaler.Run(ctx)

		for _, domain := range []string{"d1", "d2", "d3"} {
			assert.Assert(t, platform.orders[domain] >= 10, "%v", platform.orders)
		}
	})
}
