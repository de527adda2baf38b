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

// freshness is how long a process serves keyed work after its last confirmation (design 6.8).
const freshness = 5 * time.Second

// Guards against a table outage that stops completions, lets an order run without a claim, or loses a revocation.
func TestTableOutage(t *testing.T) {
	w := start(t, 0)
	other, otherID := w.grant()
	w.serving()

	assert.NilError(t, w.Switch(w.ctx, "table", map[string]bool{"outage": true}))

	began := time.Now()

	for end := time.Now().Add(freshness + 2*time.Second); time.Now().Before(end); time.Sleep(poll) {
		for _, domain := range fleet.Domains {
			got := w.complete("entry-"+domain, w.key)
			assert.Equal(t, got.status, http.StatusOK, "%s after %s", got.body, time.Since(began))
		}
	}

	refused := w.call("entry-a", http.MethodPost, "/booking/book", `{}`, w.key, "outage")
	_, ran := refused.code()
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, refused.body)
	assert.Equal(t, ran, "no")
	assert.Assert(t, refused.header.Get("Retry-After") != "")

	w.ctl(4, "key", "revoke", otherID, "--reason", "during the outage")

	for _, domain := range fleet.Domains {
		w.until("the revocation is in force", inForce, func() bool {
			return w.complete("entry-"+domain, other).status == http.StatusUnauthorized
		})
	}

	assert.NilError(t, w.Switch(w.ctx, "table", map[string]bool{"outage": false}))
	w.until("the revocation is committed", patience, func() bool {
		return strings.Contains(w.ctl(0, "audit"), "during the outage")
	})
	assert.Equal(t, w.complete("entry-c", other).status, http.StatusUnauthorized)
	w.until("orders run again", patience, func() bool {
		return w.call("entry-a", http.MethodPost, "/booking/book", `{}`, w.key, "outage").status == http.StatusOK
	})
	assert.DeepEqual(t, w.bookings(), map[string]int64{"{}": 1})
}

// Guards against agents that refuse for a whole table outage, because a change was committed just before it that they had not
// read yet.
func TestTableOutageAfterChange(t *testing.T) {
	w := start(t, 0)
	w.grant()
	assert.NilError(t, w.Switch(w.ctx, "table", map[string]bool{"outage": true}))

	for _, domain := range fleet.Domains {
		w.until("entry-"+domain+" serves", inForce, func() bool { return w.complete("entry-"+domain, w.key).status == http.StatusOK })
	}
}

// Guards against processes that end, or wait without saying for what, when they start before what they depend on.
func TestStartInReverseOrder(t *testing.T) {
	w := prepare(t, 0)
	assert.NilError(t, w.Prepare(w.ctx))

	names := w.Names()
	slices.Reverse(names)

	var standins []string

	for _, name := range names {
		if !strings.HasPrefix(name, "entry-") && !strings.HasPrefix(name, "agent-") {
			standins = append(standins, name)
			continue
		}

		assert.NilError(t, w.Launch(w.ctx, name))
		w.until(name+" says what it waits for", patience, func() bool {
			log := w.log(name)

			return strings.Contains(log, "waiting for") && strings.Contains(log, "configuration")
		})
	}

	for _, name := range standins {
		assert.NilError(t, w.Launch(w.ctx, name))
	}

	assert.NilError(t, w.Register(w.ctx))
	w.configure()
	w.until("completions are served", patience, func() bool { return w.complete("entry-a", w.key).status == http.StatusOK })
}
