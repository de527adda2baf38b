package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against orders that are booked twice, or never again, because the entry that ran them died.
func TestEntryKilledDuringOrders(t *testing.T) {
	const count = 12

	w := start(t, 0)
	late := map[string]int{"late": 300}
	assert.NilError(t, w.Switch(w.ctx, "order-a", late))
	assert.NilError(t, w.Switch(w.ctx, "order-b", late))

	book := func(entry string, number int) reply {
		return w.call(entry, http.MethodPost, "/booking/book", fmt.Sprintf(`{"order":%d}`, number), w.key, fmt.Sprintf("key-%d", number))
	}

	var group sync.WaitGroup
	for number := range count {
		group.Go(func() { book("entry-a", number) })
	}

	w.until("a booking", patience, func() bool { return len(w.bookings()) > 0 })
	w.Process("entry-a").Kill()
	group.Wait()

	for number := range count {
		w.until("an outcome", patience, func() bool { return book("entry-b", number).status == http.StatusOK })
		assert.Equal(t, book("entry-c", number).body, book("entry-b", number).body)
	}

	booked := w.bookings()
	assert.Equal(t, len(booked), count)

	for body, times := range booked {
		assert.Equal(t, times, int64(1), body)
	}
}

// Guards against an entry that, after a pause, starts work under a key that was revoked, or in a failure domain that was
// taken out of service, while it did not run.
func TestEntryFrozen(t *testing.T) {
	const count = 8

	w := start(t, 0)
	other, _ := w.grant()
	assert.Equal(t, w.complete("entry-a", w.key).status, http.StatusOK)

	domain := w.busiest()
	w.Process("entry-a").Pause()

	var (
		group   sync.WaitGroup
		revoked [count]reply
		valid   [count]reply
	)

	// The kernel accepts these calls for the frozen process, which finds them when it runs again.
	for i := range count {
		group.Go(func() { revoked[i] = w.complete("entry-a", w.key) })
		group.Go(func() { valid[i] = w.complete("entry-a", other) })
	}

	// The frozen entry cannot confirm, so the changes are reported as not yet in force.
	w.ctl(4, "--wait", inForce.String(), "key", "revoke", w.keyID, "--reason", "test")
	w.ctl(4, "--wait", inForce.String(), "domain", "out", domain, "--reason", "test")

	before := w.engineRequests(domain)
	total := w.allRequests()

	w.Process("entry-a").Resume()
	group.Wait()

	served := int64(0)

	for i := range count {
		assert.Assert(t, revoked[i].status != http.StatusOK, "served under a revoked key: %s", revoked[i].body)

		if valid[i].status == http.StatusOK {
			served++
		}
	}

	assert.Equal(t, w.engineRequests(domain), before)
	assert.Equal(t, w.allRequests(), total+served)

	w.until("the thawed entry serves again", inForce, func() bool { return w.complete("entry-a", other).status == http.StatusOK })
	assert.Equal(t, w.complete("entry-a", w.key).status, http.StatusUnauthorized)
	assert.Equal(t, w.engineRequests(domain), before)
}
