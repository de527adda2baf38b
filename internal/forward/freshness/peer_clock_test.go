package freshness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
)

// Guards against a confirmation that looks newer at its receiver than it is because a message was delayed.
func TestPeerTimeIsNeverTooNew(t *testing.T) {
	// The receiver's clock is an hour ahead of the sender's.
	const ahead = time.Hour

	cases := map[string]struct {
		// sent and arrived are the times of the receiver's reading, and confirmed that of the confirmation, on the sender's clock.
		sent, arrived, confirmed time.Duration
	}{
		"confirmed before the reading":       {sent: 100 * time.Second, arrived: 100 * time.Second, confirmed: 90 * time.Second},
		"confirmed after the reading":        {sent: 100 * time.Second, arrived: 100 * time.Second, confirmed: 103 * time.Second},
		"reading was delayed":                {sent: 100 * time.Second, arrived: 107 * time.Second, confirmed: 110 * time.Second},
		"confirmed while it was in flight":   {sent: 100 * time.Second, arrived: 107 * time.Second, confirmed: 104 * time.Second},
		"confirmed long before, and delayed": {sent: 100 * time.Second, arrived: 107 * time.Second, confirmed: 50 * time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			peer := &freshness.PeerClock{}

			_, ok := peer.ToPeer(c.confirmed)
			assert.Assert(t, !ok, "no reading of the other clock has arrived")

			peer.Observe(c.sent+ahead, c.arrived)
			peerTime, ok := peer.ToPeer(c.confirmed)
			assert.Assert(t, ok)

			lag := c.confirmed + ahead - peerTime.Local()
			assert.Equal(t, lag, c.arrived-c.sent)
		})
	}
}

// Guards against an entry whose age is not that of the newest confirmation, be it its own or a relayed one.
func TestSharedAge(t *testing.T) {
	now := 100 * time.Second
	tracker := &freshness.Tracker{Now: func() time.Duration { return now }}

	_, known := tracker.SharedAge()
	assert.Assert(t, !known)

	tracker.ConfirmRelayed(97 * time.Second)
	age, known := tracker.SharedAge()
	assert.Assert(t, known)
	assert.Equal(t, age, 3*time.Second)

	_, known = tracker.Age()
	assert.Assert(t, !known, "no confirmation came from the store itself")

	tracker.Confirm(now, 5*time.Second)
	now += time.Second
	age, _ = tracker.SharedAge()
	assert.Equal(t, age, time.Second)

	now += 4 * time.Second
	tracker.ConfirmRelayed(103 * time.Second)
	age, _ = tracker.SharedAge()
	assert.Equal(t, age, 2*time.Second)
	age, _ = tracker.Age()
	assert.Equal(t, age, 5*time.Second)

	// A confirmation from the future is limited to the current time, because the clock of its sender is wrong.
	tracker.ConfirmRelayed(200 * time.Second)
	age, _ = tracker.SharedAge()
	assert.Equal(t, age, time.Duration(0))
}
