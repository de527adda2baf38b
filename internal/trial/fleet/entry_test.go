package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against orders that are booked twice, or can never be booked, after the entry that handled them was killed.
func TestEntryKilledDuringOrders(t *testing.T) {
	const count = 12

	c := start(t, 0)
	delay := map[string]int{"late": 300}
	assert.NilError(t, c.SetSwitches(c.ctx, "order-a", delay))
	assert.NilError(t, c.SetSwitches(c.ctx, "order-b", delay))

	book := func(entry string, number int) callResponse {
		return c.call(entry, http.MethodPost, "/booking/book", fmt.Sprintf(`{"order":%d}`, number), c.key, fmt.Sprintf("key-%d", number))
	}

	var group sync.WaitGroup
	for number := range count {
		group.Go(func() { book("entry-a", number) })
	}

	c.waitFor("an order is booked", conditionTimeout, func() bool { return len(c.bookings()) > 0 })
	c.Process("entry-a").Kill()
	group.Wait()

	for number := range count {
		c.waitFor("the order has an outcome", conditionTimeout, func() bool { return book("entry-b", number).status == http.StatusOK })
		assert.Equal(t, book("entry-c", number).body, book("entry-b", number).body)
	}

	booked := c.bookings()
	assert.Equal(t, len(booked), count)

	for body, times := range booked {
		assert.Equal(t, times, int64(1), body)
	}
}

// Guards against an entry that, once resumed, starts requests with a key that was revoked, or in a failure domain that was
// taken out of service, while the entry was paused.
func TestEntryPaused(t *testing.T) {
	const count = 8

	c := start(t, 0)
	otherKey, _ := c.grant()
	assert.Equal(t, c.complete("entry-a", c.key).status, http.StatusOK)

	domain := c.busiestDomain()
	c.Process("entry-a").Pause()

	var (
		group   sync.WaitGroup
		revoked [count]callResponse
		valid   [count]callResponse
	)

	// The kernel accepts these connections for the paused process, which handles them once it is resumed.
	for i := range count {
		group.Go(func() { revoked[i] = c.complete("entry-a", c.key) })
		group.Go(func() { valid[i] = c.complete("entry-a", otherKey) })
	}

	// The paused entry cannot confirm the changes, so that they are reported as not yet in force (exit code 4).
	c.ctl(4, "--wait", inForceTimeout.String(), "key", "revoke", c.keyID, "--reason", "test")
	c.ctl(4, "--wait", inForceTimeout.String(), "domain", "out", domain, "--reason", "test")

	before := c.engineRequests(domain)
	total := c.totalEngineRequests()

	c.Process("entry-a").Resume()
	group.Wait()

	served := int64(0)

	for i := range count {
		assert.Assert(t, revoked[i].status != http.StatusOK, "served with a revoked key: %s", revoked[i].body)

		if valid[i].status == http.StatusOK {
			served++
		}
	}

	assert.Equal(t, c.engineRequests(domain), before)
	assert.Equal(t, c.totalEngineRequests(), total+served)

	c.waitFor("the resumed entry serves again", inForceTimeout, func() bool { return c.complete("entry-a", otherKey).status == http.StatusOK })
	assert.Equal(t, c.complete("entry-a", c.key).status, http.StatusUnauthorized)
	assert.Equal(t, c.engineRequests(domain), before)
}
