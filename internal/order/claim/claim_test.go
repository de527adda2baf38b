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

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}

	flag.Parse()
	m.Run()
}

// operationFault is the fault that is injected into one operation.
type operationFault int

const (
	noFault operationFault = iota
	// requestLost: the operation has no effect and the caller gets an error.
	requestLost
	// responseLost: the operation takes effect and the response is lost.
	responseLost
	// delayed: the operation takes effect a second after the caller got an error.
	delayed
	// crashBefore: the entry crashes before the operation.
	crashBefore
	// crashAfter: the entry crashes after the operation took effect.
	crashAfter
	faultCount
)

// environment simulates the platform's table and one agent, and holds the faults of the next operations.
type environment struct {
	table.Memory
	mu            sync.Mutex
	faults        []operationFault
	boot          int
	attempts      map[string]*rpc.Done
	runs          int
	runsByRequest map[string]int
	// testDone ends the operations of crashed entries.
	testDone chan struct{}
	// sendDelay is the time before a sent attempt arrives.
	sendDelay time.Duration
}

func (env *environment) nextFault() operationFault {
	env.mu.Lock()
	defer env.mu.Unlock()

	if len(env.faults) == 0 {
		return noFault
	}

	next := env.faults[0]
	env.faults = env.faults[1:]

	return next
}

// perform runs an operation with the next fault and reports whether its response arrives.
func (env *environment) perform(operation func()) bool {
	switch env.nextFault() {
	case requestLost:
		return false
	case responseLost:
		operation()
		return false
	case delayed:
		time.AfterFunc(time.Second, operation)
		return false
	case crashBefore:
		<-env.testDone
		return false
	case crashAfter:
		operation()
		<-env.testDone

		return false
	default:
		operation()
		return true
	}
}

func (env *environment) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row

	var err error

	if !env.perform(func() { row, err = env.Memory.Get(ctx, key) }) {
		return table.Row{}, fault.New(fault.TableUnavailable, "the table is down")
	}

	return row, err
}

func (env *environment) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	var revision int64

	var err error

	if !env.perform(func() { revision, err = env.Memory.Commit(ctx, txn) }) {
		return 0, fault.New(fault.TableUnavailable, "the table is down")
	}

	return revision, err
}

func (env *environment) Choose(context.Context, relay.Request, []string) (relay.AgentProcess, error) {
	env.mu.Lock()
	defer env.mu.Unlock()

	return relay.AgentProcess{Server: "s1", Boot: strconv.Itoa(env.boot)}, nil
}

// DoAt sends the attempt to the agent, which runs it at most once, and not after a query had it refused.
func (env *environment) DoAt(_ context.Context, agent relay.AgentProcess, request relay.Request) (relay.Result, error) {
	attempt := request.Work.(relay.Call).Attempt

	time.Sleep(env.sendDelay)

	var done *rpc.Done

	if !env.perform(func() { done = env.runAttempt(agent, attempt, request.ID) }) {
		return relay.Result{MayHaveStarted: true}, fault.New(fault.OutcomeUnknown, "the response was lost")
	}

	if done == nil {
		return relay.Result{}, fault.New(fault.AttemptRefused, "the attempt was refused")
	}

	return relay.Result{Done: done, MayHaveStarted: true}, nil
}

func (env *environment) runAttempt(agent relay.AgentProcess, attempt, request string) *rpc.Done {
	env.mu.Lock()
	defer env.mu.Unlock()

	if _, seen := env.attempts[attempt]; seen || agent.Boot != strconv.Itoa(env.boot) {
		return nil
	}

	env.runs++
	env.runsByRequest[request]++
	env.attempts[attempt] = &rpc.Done{Status: 201, Body: []byte("run " + strconv.Itoa(env.runs))}

	return env.attempts[attempt]
}

func (env *environment) Query(_ context.Context, agent relay.AgentProcess, attempt string, refuse bool) (rpc.AttemptState, *rpc.Done, error) {
	env.mu.Lock()
	defer env.mu.Unlock()

	done, seen := env.attempts[attempt]

	switch {
	case agent.Boot != strconv.Itoa(env.boot):
		return rpc.AttemptState_ATTEMPT_UNKNOWN, nil, nil
	case done != nil:
		return rpc.AttemptState_ATTEMPT_DONE, done, nil
	case seen:
		return rpc.AttemptState_ATTEMPT_REFUSED, nil, nil
	case refuse:
		env.attempts[attempt] = nil
		return rpc.AttemptState_ATTEMPT_REFUSED, nil, nil
	default:
		return rpc.AttemptState_ATTEMPT_UNSEEN, nil, nil
	}
}

func (env *environment) restart() {
	env.mu.Lock()
	defer env.mu.Unlock()

	env.boot++
	env.attempts = map[string]*rpc.Done{}
}

func newEnvironment(faults ...operationFault) *environment {
	return &environment{faults: faults, attempts: map[string]*rpc.Done{}, runsByRequest: map[string]int{}, testDone: make(chan struct{})}
}

func newRequest(id string) relay.Request {
	return relay.Request{ID: id, Account: "trust", Work: relay.Call{Call: &rpc.Call{
		Service: "press", Method: "POST", Path: "/press/orders", Body: []byte("plates"),
	}}}
}

// Guards against a call that runs twice, loses its outcome, or is reported as not run although it has run, after a fault in any
// one operation.
func TestOneFault(t *testing.T) {
	// The operations of a first call are: read the row, write the claim, send, store the outcome.
	cases := map[string]struct {
		faults []operationFault
		// first and second are the error kinds of the first call and of a retry through another entry.
		first, second fault.Kind
		runs          int
	}{
		"no fault":              {nil, "", "", 1},
		"table down at first":   {[]operationFault{requestLost}, fault.TableUnavailable, "", 1},
		"claim fails":           {[]operationFault{noFault, requestLost}, fault.TableUnavailable, "", 1},
		"claim response lost":   {[]operationFault{noFault, responseLost}, "", "", 1},
		"claim delayed":         {[]operationFault{noFault, delayed}, fault.TableUnavailable, "", 1},
		"claim and read back":   {[]operationFault{noFault, responseLost, requestLost}, fault.TableUnavailable, "", 1},
		"crash before claim":    {[]operationFault{noFault, crashBefore}, "crashed", "", 1},
		"crash after claim":     {[]operationFault{noFault, crashAfter}, "crashed", "", 1},
		"crash before send":     {[]operationFault{noFault, noFault, crashBefore}, "crashed", "", 1},
		"crash after send":      {[]operationFault{noFault, noFault, crashAfter}, "crashed", "", 1},
		"send lost":             {[]operationFault{noFault, noFault, requestLost}, fault.OutcomeUnknown, "", 1},
		"send delayed":          {[]operationFault{noFault, noFault, delayed}, fault.OutcomeUnknown, "", 1},
		"response lost":         {[]operationFault{noFault, noFault, responseLost}, fault.OutcomeUnknown, "", 1},
		"crash before outcome":  {[]operationFault{noFault, noFault, noFault, crashBefore}, "crashed", "", 1},
		"crash after outcome":   {[]operationFault{noFault, noFault, noFault, crashAfter}, "crashed", "", 1},
		"outcome fails":         {[]operationFault{noFault, noFault, noFault, requestLost}, "", "", 1},
		"outcome response lost": {[]operationFault{noFault, noFault, noFault, responseLost}, "", "", 1},
		"table down at the end": {[]operationFault{noFault, noFault, noFault, requestLost, requestLost}, "", "", 1},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newEnvironment(tc.faults...)
				defer close(env.testDone)

				first := make(chan fault.Kind, 1)

				go func() {
					entry := &claim.Executor{Table: env, Agents: env}
					_, err := entry.Do(t.Context(), "key", newRequest("1"))
					first <- kindOf(err)
				}()

				synctest.Wait()

				select {
				case kind := <-first:
					assert.Equal(t, kind, tc.first)
				default:
					assert.Equal(t, tc.first, fault.Kind("crashed"))
				}

				other := &claim.Executor{Table: env, Agents: env}
				result, err := other.Do(t.Context(), "key", newRequest("2"))
				assert.Equal(t, kindOf(err), tc.second)
				assert.Equal(t, string(result.Done.GetBody()), "run 1")

				time.Sleep(2 * time.Second)
				synctest.Wait()
				assert.Equal(t, env.runs, tc.runs)
			})
		})
	}
}

func kindOf(err error) fault.Kind {
	if err == nil {
		return ""
	}

	return fault.FromError(err).Kind
}

// Guards against an outcome that is never stored because the table was down when the call completed.
func TestOutcomeIsStoredLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(noFault, noFault, noFault, requestLost, requestLost)
		executor := &claim.Executor{Table: env, Agents: env}

		_, err := executor.Do(t.Context(), "key", newRequest("1"))
		assert.NilError(t, err)

		ctx, stop := context.WithCancel(t.Context())
		defer stop()

		go func() { _ = executor.Run(ctx) }()

		time.Sleep(3 * time.Second)
		env.restart()

		result, err := executor.Do(t.Context(), "key", newRequest("2"))
		assert.NilError(t, err)
		assert.Equal(t, string(result.Done.Body), "run 1")
	})
}

// Guards against two concurrent calls that refuse each other's attempts.
func TestConcurrentCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment()
		env.sendDelay = 100 * time.Millisecond
		kinds := make(chan fault.Kind, 2)

		for _, id := range []string{"1", "2"} {
			go func() {
				executor := &claim.Executor{Table: env, Agents: env}
				_, err := executor.Do(t.Context(), "key", newRequest(id))
				kinds <- kindOf(err)
			}()
		}

		assert.Equal(t, <-kinds, fault.Kind(""))
		assert.Equal(t, <-kinds, fault.Kind(""))
		assert.Equal(t, env.runs, 1)
	})
}

// Guards against "outcome unknown" for a call whose claim another entry releases at the same time, because the agent restarted
// before the attempt arrived.
func TestClaimChangesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment()
		env.sendDelay = 100 * time.Millisecond
		executor := &claim.Executor{Table: env, Agents: env}
		first := make(chan fault.Kind)

		go func() {
			_, err := executor.Do(t.Context(), "key", newRequest("1"))
			first <- kindOf(err)
		}()

		synctest.Wait()
		env.restart()

		result, err := executor.Do(t.Context(), "key", newRequest("2"))
		assert.NilError(t, err)
		assert.Equal(t, string(result.Done.Body), "run 1")
		assert.Equal(t, <-first, fault.AttemptRefused)
	})
}

// Guards against duplicate runs, differing outcomes and a false "not run" under several faults, agent restarts and concurrent
// calls through several entries.
func TestCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 0, 16).Draw(rt, "faults")
		restart := rapid.IntRange(-1, 3).Draw(rt, "restart")
		parallel := rapid.IntRange(1, 3).Draw(rt, "parallel")

		synctest.Test(t, func(t *testing.T) {
			env := newEnvironment()
			for _, each := range drawn {
				env.faults = append(env.faults, operationFault(each))
			}

			env.checkAtMostOnce(t, restart, parallel)
		})
	})
}

func (env *environment) checkAtMostOnce(t *testing.T, restart, parallel int) {
	t.Helper()

	var mu sync.Mutex

	answers := map[string]fault.Kind{}
	bodies := map[string]bool{}
	entries := []*claim.Executor{{Table: env, Agents: env}, {Table: env, Agents: env}}

	for round := range 4 {
		for n := range parallel {
			id := strconv.Itoa(round) + "/" + strconv.Itoa(n)

			go func() {
				result, err := entries[(round+n)%2].Do(t.Context(), "key", newRequest(id))

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
			env.restart()
		}
	}

	synctest.Wait()
	close(env.testDone)
	synctest.Wait()
	time.Sleep(2 * time.Second)
	synctest.Wait()

	assert.Assert(t, env.runs <= 1, "%d runs", env.runs)
	assert.Assert(t, len(bodies) <= 1, "%v", bodies)

	for id, kind := range answers {
		if kind != "" && kind.Response().Ran == fault.RanNo {
			assert.Equal(t, env.runsByRequest[id], 0, "%s got %s", id, kind)
		}
	}
}
