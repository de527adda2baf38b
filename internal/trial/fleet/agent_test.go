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

// Guards against streams that are truncated without an error event when their agent is killed.
func TestAgentKilledDuringStreams(t *testing.T) {
	const tokens = 64

	c := start(t, slowToken)
	running := c.stream(3, tokens, "entry-a", "entry-b", "entry-c")
	running.awaitFirstLines()

	domain := c.busiestDomain()
	later := c.stream(6, tokens, "entry-a", "entry-b", "entry-c")

	c.Process("agent-engine-" + domain).Kill()
	running.wg.Wait()
	later.wg.Wait()

	failed := 0

	for _, each := range slices.Concat(running.all, later.all) {
		assert.NilError(t, each.err)
		assert.Assert(t, each.isComplete(tokens) || each.failed != "", "truncated without an error: %+v", each)

		if each.failed != "" {
			failed++
		}
	}

	assert.Assert(t, failed > 0, "no stream was running on the killed agent")
}

// Guards against an agent that, once resumed, starts queued requests whose key was revoked while the agent was paused.
func TestAgentPausedWithQueue(t *testing.T) {
	const tokens = 64

	c := start(t, slowToken)
	streams := c.stream(24, tokens, "entry-a", "entry-b", "entry-c")

	var domain string

	c.waitFor("requests are queued", conditionTimeout, func() bool {
		domain = c.busiestDomain()

		return c.queueLength(domain) > 0
	})

	agent := c.Process("agent-engine-" + domain)
	agent.Pause()
	c.ctl(0, "key", "revoke", c.keyID, "--reason", "test")

	before := c.engineRequests(domain)

	agent.Resume()
	c.waitFor("the queue is empty", conditionTimeout, func() bool { return c.queueLength(domain) == 0 })
	streams.wg.Wait()
	assert.Equal(t, c.engineRequests(domain), before)

	for _, each := range streams.all {
		assert.Assert(t, each.isComplete(tokens) || each.failed != "", "truncated without an error: %+v", each)
	}
}

var queuedMetric = regexp.MustCompile(`(?m)^\w*agent_queued (\d+)`)

// queueLength returns the queue length of the agent of a failure domain's engine.
func (c *testCluster) queueLength(domain string) int {
	found := queuedMetric.FindStringSubmatch(c.call("probe-engine-"+domain, http.MethodGet, "/metrics", "", "", "").body)
	if found == nil {
		return 0
	}

	count, err := strconv.Atoi(found[1])
	assert.NilError(c.t, err)

	return count
}

// totalEngineRequests returns the total number of requests that the engines have accepted.
func (c *testCluster) totalEngineRequests() int64 {
	total := int64(0)
	for _, domain := range fleet.Domains {
		total += c.engineRequests(domain)
	}

	return total
}

// Guards against a graceful shutdown of an entry or agent that truncates running streams, and against a shutdown that a
// second SIGTERM does not abort.
func TestTerminate(t *testing.T) {
	const tokens = 100

	cases := map[string]func(c *testCluster) string{
		"entry": func(*testCluster) string { return "entry-a" },
		"agent": func(c *testCluster) string { return "agent-engine-" + c.busiestDomain() },
	}

	for name, choose := range cases {
		t.Run(name, func(t *testing.T) {
			c := start(t, slowToken)
			streams := c.stream(2, tokens, "entry-a")
			streams.awaitFirstLines()

			chosen := c.Process(choose(c))
			chosen.Terminate()
			streams.wg.Wait()
			c.awaitExit(chosen.Done())
			assert.Equal(t, chosen.ExitCode(), 0)

			for _, each := range streams.all {
				assert.Assert(t, each.isComplete(tokens), "truncated: %+v", each)
			}
		})

		t.Run(name+" twice", func(t *testing.T) {
			c := start(t, slowToken)
			streams := c.stream(2, tokens, "entry-a")
			streams.awaitFirstLines()

			chosen := c.Process(choose(c))
			chosen.Terminate()
			c.waitFor("the process is draining", conditionTimeout, func() bool { return drainingLine.MatchString(c.processLog(chosen.Name)) })
			chosen.Terminate()
			c.awaitExit(chosen.Done())
			assert.Equal(t, chosen.ExitCode(), 143, "terminated by the second signal")
			streams.wg.Wait()

			for _, each := range streams.all {
				assert.Assert(t, !each.isComplete(tokens), "the process should have exited before its streams completed")
			}
		})
	}
}

var drainingLine = regexp.MustCompile(`draining`)

func (c *testCluster) awaitExit(done <-chan struct{}) {
	c.t.Helper()

	select {
	case <-done:
	case <-time.After(conditionTimeout):
		c.t.Fatal("the process has not exited")
	}
}
