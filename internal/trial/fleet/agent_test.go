package fleet_test

import (
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/trial/fleet"
)

// Guards against answers that end early without an error event when their agent dies.
func TestAgentKilledDuringStreams(t *testing.T) {
	const tokens = 64

	w := start(t, slowToken)
	sending := w.stream(3, tokens, "entry-a", "entry-b", "entry-c")
	sending.running()

	domain := w.busiest()
	starting := w.stream(6, tokens, "entry-a", "entry-b", "entry-c")

	w.Process("agent-engine-" + domain).Kill()
	sending.group.Wait()
	starting.group.Wait()

	failed := 0

	for _, each := range slices.Concat(sending.all, starting.all) {
		assert.NilError(t, each.err)
		assert.Assert(t, each.whole(tokens) || each.failed != "", "silently cut: %+v", each)

		if each.failed != "" {
			failed++
		}
	}

	assert.Assert(t, failed > 0, "no stream ran at the killed agent")
}

// Guards against an agent that, after a pause, starts queued work under a key that was revoked meanwhile.
func TestAgentFrozenWithQueue(t *testing.T) {
	const tokens = 64

	w := start(t, slowToken)
	callers := w.stream(24, tokens, "entry-a", "entry-b", "entry-c")

	var domain string

	w.until("work is queued", patience, func() bool {
		domain = w.busiest()

		return w.queued(domain) > 0
	})

	agent := w.Process("agent-engine-" + domain)
	agent.Pause()
	w.ctl(0, "key", "revoke", w.keyID, "--reason", "test")

	before := w.engineRequests(domain)

	agent.Resume()
	w.until("the queue is empty", patience, func() bool { return w.queued(domain) == 0 })
	callers.group.Wait()
	assert.Equal(t, w.engineRequests(domain), before)

	for _, each := range callers.all {
		assert.Assert(t, each.whole(tokens) || each.failed != "", "silently cut: %+v", each)
	}
}

var queuedMetric = regexp.MustCompile(`(?m)^\w*agent_queued (\d+)`)

// queued returns the length of the queue of the agent beside an engine.
func (w *world) queued(domain string) int {
	found := queuedMetric.FindStringSubmatch(w.call("probe-engine-"+domain, http.MethodGet, "/metrics", "", "", "").body)
	if found == nil {
		return 0
	}

	count, err := strconv.Atoi(found[1])
	assert.NilError(w.t, err)

	return count
}

// allRequests returns the number of requests that all engines have accepted.
func (w *world) allRequests() int64 {
	total := int64(0)
	for _, domain := range fleet.Domains {
		total += w.engineRequests(domain)
	}

	return total
}

// Guards against answers that a graceful shutdown of an entry or agent cuts off, and against a shutdown that a second
// SIGTERM does not end.
func TestTerminate(t *testing.T) {
	const tokens = 100

	cases := map[string]func(w *world) string{
		"entry": func(*world) string { return "entry-a" },
		"agent": func(w *world) string { return "agent-engine-" + w.busiest() },
	}

	for name, choose := range cases {
		t.Run(name, func(t *testing.T) {
			w := start(t, slowToken)
			callers := w.stream(2, tokens, "entry-a")
			callers.running()

			chosen := w.Process(choose(w))
			chosen.Terminate()
			callers.group.Wait()
			w.ended(chosen.Done())
			assert.Equal(t, chosen.ExitCode(), 0)

			for _, each := range callers.all {
				assert.Assert(t, each.whole(tokens), "cut off: %+v", each)
			}
		})

		t.Run(name+" twice", func(t *testing.T) {
			w := start(t, slowToken)
			callers := w.stream(2, tokens, "entry-a")
			callers.running()

			chosen := w.Process(choose(w))
			chosen.Terminate()
			w.until("the shutdown has begun", patience, func() bool { return drains.MatchString(w.log(chosen.Name)) })
			chosen.Terminate()
			w.ended(chosen.Done())
			assert.Equal(t, chosen.ExitCode(), 143, "ended by the second signal")
			callers.group.Wait()

			for _, each := range callers.all {
				assert.Assert(t, !each.whole(tokens), "the process was to end before its streams")
			}
		})
	}
}

var drains = regexp.MustCompile(`draining`)

func (w *world) ended(done <-chan struct{}) {
	w.t.Helper()

	select {
	case <-done:
	case <-time.After(patience):
		w.t.Fatal("the process has not ended")
	}
}
