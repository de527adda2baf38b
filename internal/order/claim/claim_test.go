package claim_test

import (
	"context"
	"flag"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/order/claim"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// TestMain fixes the seed, so that runs repeat; a flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}

	flag.Parse()
	m.Run()
}

// fate is what happens to one operation.
type fate int

const (
	works fate = iota
	// fails: nothing happens, and the caller knows or suspects it.
	fails
	// unanswered: it takes effect and the answer is lost.
	unanswered
	// late: it takes effect a second after the caller gave up.
	late
	// dies: the entry ends before the operation.
	dies
	// diesAfter: the entry ends after the operation took effect.
	diesAfter
	fates
)

// world holds the platform's table, one agent and the fates of the next operations.
type world struct {
	table.Memory
	mu     sync.Mutex
	fates  []fate
	boot   int
	seen   map[string]*rpc.Done
	runs   int
	runsOf map[string]int
	ended  chan struct{}
	// slow is the time before a sent attempt arrives.
	slow time.Duration
}

func (w *world) next() fate {
	w.mu.Lock()
	defer w.mu.Unlock()

	if len(w.fates) == 0 {
		return works
	}

	fate := w.fates[0]
	w.fates = w.fates[1:]

	return fate
}

// suffer runs an operation under the next fate and reports whether its answer arrives.
func (w *world) suffer(operation func()) bool {
	switch w.next() {
	case fails:
		return false
	case unanswered:
		operation()
		return false
	case late:
		time.AfterFunc(time.Second, operation)
		return false
	case dies:
		<-w.ended
		return false
	case diesAfter:
		operation()
		<-w.ended

		return false
	default:
		operation()
		return true
	}
}

func (w *world) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row

	var err error

	if !w.suffer(func() { row, err = w.Memory.Get(ctx, key) }) {
		return table.Row{}, fault.New(fault.TableUnavailable, "down")
	}

	return row, err
}

func (w *world) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	var revision int64

	var err error

	if !w.suffer(func() { revision, err = w.Memory.Commit(ctx, txn) }) {
		return 0, fault.New(fault.TableUnavailable, "down")
	}

	return revision, err
}

func (w *world) Choose(context.Context, relay.Request, []string) (relay.AgentProcess, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return relay.AgentProcess{Server: "s1", Boot: strconv.Itoa(w.boot)}, nil
}

// DoAt gives the attempt to the agent, which runs it at most once and refuses it if it has been asked to.
func (w *world) DoAt(_ context.Context, target relay.AgentProcess, request relay.Request) (relay.Result, error) {
	attempt := request.Work.(relay.Call).Attempt

	time.Sleep(w.slow)

	var done *rpc.Done

	if !w.suffer(func() { done = w.attempt(target, attempt, request.ID) }) {
		return relay.Result{MayHaveStarted: true}, fault.New(fault.OutcomeUnknown, "lost")
	}

	if done == nil {
		return relay.Result{}, fault.New(fault.AttemptRefused, "refused")
	}

	return relay.Result{Done: done, MayHaveStarted: true}, nil
}

func (w *world) attempt(target relay.AgentProcess, attempt, request string) *rpc.Done {
	w.mu.Lock()
	defer w.mu.Unlock()

	if _, seen := w.seen[attempt]; seen || target.Boot != strconv.Itoa(w.boot) {
		return nil
	}

	w.runs++
	w.runsOf[request]++
	w.seen[attempt] = &rpc.Done{Status: 201, Body: []byte("run " + strconv.Itoa(w.runs))}

	return w.seen[attempt]
}

func (w *world) Query(_ context.Context, target relay.AgentProcess, attempt string, refuse bool) (rpc.AttemptState, *rpc.Done, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	done, seen := w.seen[attempt]

	switch {
	case target.Boot != strconv.Itoa(w.boot):
		return rpc.AttemptState_ATTEMPT_UNKNOWN, nil, nil
	case done != nil:
		return rpc.AttemptState_ATTEMPT_DONE, done, nil
	case seen:
		return rpc.AttemptState_ATTEMPT_REFUSED, nil, nil
	case refuse:
		w.seen[attempt] = nil
		return rpc.AttemptState_ATTEMPT_REFUSED, nil, nil
	default:
		return rpc.AttemptState_ATTEMPT_UNSEEN, nil, nil
	}
}

func (w *world) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.boot++
	w.seen = map[string]*rpc.Done{}
}

func newWorld(fates ...fate) *world {
	return &world{fates: fates, seen: map[string]*rpc.Done{}, runsOf: map[string]int{}, ended: make(chan struct{})}
}

func order(id string) relay.Request {
	return relay.Request{ID: id, Account: "trust", Work: relay.Call{Call: &rpc.Call{
		Service: "press", Method: "POST", Path: "/press/orders", Body: []byte("plates"),
	}}}
}

// Guards against an order that runs twice, loses its outcome, or is said not to have run although it has, whatever one
// operation suffers.
func TestOneFault(t *testing.T) {
	// The operations of a first call are: read, claim, send, store the outcome.
	cases := map[string]struct {
		fates []fate
		// first and second are the kinds that the first call and a repetition through another entry get.
		first, second fault.Kind
		runs          int
	}{
		"no fault":              {nil, "", "", 1},
		"table down at first":   {[]fate{fails}, fault.TableUnavailable, "", 1},
		"claim fails":           {[]fate{works, fails}, fault.TableUnavailable, "", 1},
		"claim unanswered":      {[]fate{works, unanswered}, "", "", 1},
		"claim late":            {[]fate{works, late}, fault.TableUnavailable, "", 1},
		"claim and read back":   {[]fate{works, unanswered, fails}, fault.TableUnavailable, "", 1},
		"death before claim":    {[]fate{works, dies}, "dead", "", 1},
		"death after claim":     {[]fate{works, diesAfter}, "dead", "", 1},
		"death before send":     {[]fate{works, works, dies}, "dead", "", 1},
		"death after send":      {[]fate{works, works, diesAfter}, "dead", "", 1},
		"send lost":             {[]fate{works, works, fails}, fault.OutcomeUnknown, "", 1},
		"send late":             {[]fate{works, works, late}, fault.OutcomeUnknown, "", 1},
		"answer lost":           {[]fate{works, works, unanswered}, fault.OutcomeUnknown, "", 1},
		"death before outcome":  {[]fate{works, works, works, dies}, "dead", "", 1},
		"death after outcome":   {[]fate{works, works, works, diesAfter}, "dead", "", 1},
		"outcome fails":         {[]fate{works, works, works, fails}, "", "", 1},
		"outcome unanswered":    {[]fate{works, works, works, unanswered}, "", "", 1},
		"table down at the end": {[]fate{works, works, works, fails, fails}, "", "", 1},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(tc.fates...)
				defer close(w.ended)

				first := make(chan fault.Kind, 1)

				go func() {
					entry := &claim.Executor{Table: w, Agents: w}
					_, err := entry.Do(t.Context(), "key", order("1"))
					first <- kindOf(err)
				}()

				synctest.Wait()

				select {
				case kind := <-first:
					assert.Equal(t, kind, tc.first)
				default:
					assert.Equal(t, tc.first, fault.Kind("dead"))
				}

				other := &claim.Executor{Table: w, Agents: w}
				result, err := other.Do(t.Context(), "key", order("2"))
				assert.Equal(t, kindOf(err), tc.second)
				assert.Equal(t, string(result.Done.GetBody()), "run 1")

				time.Sleep(2 * time.Second)
				synctest.Wait()
				assert.Equal(t, w.runs, tc.runs)
			})
		})
	}
}

func kindOf(err error) fault.Kind {
	if err == nil {
		return ""
	}

	return fault.Of(err).Kind
}

// Guards against an outcome that is never stored because the table was down when it arrived.
func TestOutcomeIsStoredLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(works, works, works, fails, fails)
		claims := &claim.Executor{Table: w, Agents: w}

		_, err := claims.Do(t.Context(), "key", order("1"))
		assert.NilError(t, err)

		ctx, stop := context.WithCancel(t.Context())
		defer stop()

		go func() { _ = claims.Run(ctx) }()

		time.Sleep(3 * time.Second)
		w.restart()

		result, err := claims.Do(t.Context(), "key", order("2"))
		assert.NilError(t, err)
		assert.Equal(t, string(result.Done.Body), "run 1")
	})
}

// Guards against two calls at the same moment that refuse each other's attempts.
func TestTwoCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.slow = 100 * time.Millisecond
		kinds := make(chan fault.Kind, 2)

		for _, id := range []string{"1", "2"} {
			go func() {
				claims := &claim.Executor{Table: w, Agents: w}
				_, err := claims.Do(t.Context(), "key", order(id))
				kinds <- kindOf(err)
			}()
		}

		assert.Equal(t, <-kinds, fault.Kind(""))
		assert.Equal(t, <-kinds, fault.Kind(""))
		assert.Equal(t, w.runs, 1)
	})
}

// Guards against "outcome unknown" for an order whose claim another entry is just giving up, because the agent restarted
// before the attempt arrived.
func TestClaimSettlesMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.slow = 100 * time.Millisecond
		claims := &claim.Executor{Table: w, Agents: w}
		first := make(chan fault.Kind)

		go func() {
			_, err := claims.Do(t.Context(), "key", order("1"))
			first <- kindOf(err)
		}()

		synctest.Wait()
		w.restart()

		result, err := claims.Do(t.Context(), "key", order("2"))
		assert.NilError(t, err)
		assert.Equal(t, string(result.Done.Body), "run 1")
		assert.Equal(t, <-first, fault.AttemptRefused)
	})
}

// Guards against double runs, differing outcomes and false "not run" under several faults, agent restarts and concurrent
// calls through several entries.
func TestOrdersRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, int(fates)-1), 0, 16).Draw(rt, "fates")
		restart := rapid.IntRange(-1, 3).Draw(rt, "restart")
		parallel := rapid.IntRange(1, 3).Draw(rt, "parallel")

		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			for _, each := range faults {
				w.fates = append(w.fates, fate(each))
			}

			w.check(t, restart, parallel)
		})
	})
}

func (w *world) check(t *testing.T, restart, parallel int) {
	t.Helper()

	var mu sync.Mutex

	answers := map[string]fault.Kind{}
	bodies := map[string]bool{}
	entries := []*claim.Executor{{Table: w, Agents: w}, {Table: w, Agents: w}}

	for round := range 4 {
		for n := range parallel {
			id := strconv.Itoa(round) + "/" + strconv.Itoa(n)

			go func() {
				result, err := entries[(round+n)%2].Do(t.Context(), "key", order(id))

				mu.Lock()
				defer mu.Unlock()

				answers[id] = kindOf(err)
				if err == nil {
					bodies[string(result.Done.Body)] = true
				}
			}()
		}

		time.Sleep(1500 * time.Millisecond)

		if round == restart {
			w.restart()
		}
	}

	synctest.Wait()
	close(w.ended)
	synctest.Wait()
	time.Sleep(2 * time.Second)
	synctest.Wait()

	assert.Assert(t, w.runs <= 1, "%d runs", w.runs)
	assert.Assert(t, len(bodies) <= 1, "%v", bodies)

	for id, kind := range answers {
		if kind != "" && kind.Answer().Ran == fault.RanNo {
			assert.Equal(t, w.runsOf[id], 0, "%s got %s", id, kind)
		}
	}
}
