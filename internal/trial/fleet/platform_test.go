package fleet_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/trial/fleet"
)

// freshness is how long after its last confirmation a process serves requests that need a key (design 6.8).
const freshness = 5 * time.Second

// Guards against a table outage that makes completions fail, lets an order run without a claim, or loses a revocation.
func TestTableOutage(t *testing.T) {
	c := start(t, 0)
	otherKey, otherKeyID := c.grant()
	c.awaitServing()

	assert.NilError(t, c.SetSwitches(c.ctx, "table", map[string]bool{"outage": true}))

	began := time.Now()

	for end := time.Now().Add(freshness + 2*time.Second); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, domain := range fleet.Domains {
			got := c.complete("entry-"+domain, c.key)
			assert.Equal(t, got.status, http.StatusOK, "%s after %s", got.body, time.Since(began))
		}
	}

	refused := c.call("entry-a", http.MethodPost, "/booking/book", `{}`, c.key, "outage")
	_, ran := refused.code()
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, refused.body)
	assert.Equal(t, ran, "no")
	assert.Assert(t, refused.header.Get("Retry-After") != "")

	c.ctl(4, "key", "revoke", otherKeyID, "--reason", "during the outage")

	for _, domain := range fleet.Domains {
		c.waitFor("the revocation is in force", inForceTimeout, func() bool {
			return c.complete("entry-"+domain, otherKey).status == http.StatusUnauthorized
		})
	}

	assert.NilError(t, c.SetSwitches(c.ctx, "table", map[string]bool{"outage": false}))
	c.waitFor("the revocation is committed", conditionTimeout, func() bool {
		return strings.Contains(c.ctl(0, "audit"), "during the outage")
	})
	assert.Equal(t, c.complete("entry-c", otherKey).status, http.StatusUnauthorized)
	c.waitFor("orders run again", conditionTimeout, func() bool {
		return c.call("entry-a", http.MethodPost, "/booking/book", `{}`, c.key, "outage").status == http.StatusOK
	})
	assert.DeepEqual(t, c.bookings(), map[string]int64{"{}": 1})
}

// Guards against agents that refuse requests for a whole table outage because they had not yet read a change that was
// committed just before the outage.
func TestTableOutageAfterChange(t *testing.T) {
	c := start(t, 0)
	c.grant()
	assert.NilError(t, c.SetSwitches(c.ctx, "table", map[string]bool{"outage": true}))

	for _, domain := range fleet.Domains {
		c.waitFor("entry-"+domain+" serves", inForceTimeout, func() bool { return c.complete("entry-"+domain, c.key).status == http.StatusOK })
	}
}

// Guards against processes that exit, or wait without logging for what, when they start before their dependencies.
func TestStartInReverseOrder(t *testing.T) {
	c := prepare(t, 0)
	assert.NilError(t, c.Prepare(c.ctx))

	names := c.Names()
	slices.Reverse(names)

	var standins []string

	for _, name := range names {
		if !strings.HasPrefix(name, "entry-") && !strings.HasPrefix(name, "agent-") {
			standins = append(standins, name)
			continue
		}

		assert.NilError(t, c.StartProcess(c.ctx, name))
		c.waitFor(name+" logs what it waits for", conditionTimeout, func() bool {
			log := c.processLog(name)

			return strings.Contains(log, "waiting for") && strings.Contains(log, "configuration")
		})
	}

	for _, name := range standins {
		assert.NilError(t, c.StartProcess(c.ctx, name))
	}

	assert.NilError(t, c.RegisterVMs(c.ctx))
	c.configure()
	c.waitFor("completions are served", conditionTimeout, func() bool { return c.complete("entry-a", c.key).status == http.StatusOK })
}
