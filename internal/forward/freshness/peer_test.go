package freshness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
)

// Guards against a confirmation that looks newer at its receiver than it is, whatever messages are delayed on the way.
func TestEchoIsNeverTooNew(t *testing.T) {
	// The receiver's clock runs an hour ahead of the teller's.
	const ahead = time.Hour

	cases := map[string]struct {
		// sent and arrived are the teller's times of the receiver's reading; moment is the confirmation.
		sent, arrived, moment time.Duration
	}{
		"confirmed before the reading":       {sent: 100 * time.Second, arrived: 100 * time.Second, moment: 90 * time.Second},
		"confirmed after the reading":        {sent: 100 * time.Second, arrived: 100 * time.Second, moment: 103 * time.Second},
		"reading was delayed":                {sent: 100 * time.Second, arrived: 107 * time.Second, moment: 110 * time.Second},
		"confirmed while it was on its way":  {sent: 100 * time.Second, arrived: 107 * time.Second, moment: 104 * time.Second},
		"confirmed long before, and delayed": {sent: 100 * time.Second, arrived: 107 * time.Second, moment: 50 * time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			peer := &freshness.PeerClock{}

			_, ok := peer.ToPeer(c.moment)
			assert.Assert(t, !ok, "the other clock is not known")

			peer.Observe(c.sent+ahead, c.arrived)
			echo, ok := peer.ToPeer(c.moment)
			assert.Assert(t, ok)

			lag := c.moment + ahead - echo.Local()
			assert.Equal(t, lag, c.arrived-c.sent)
		})
	}
}

// Guards against an entry that trusts a relayed confirmation less than its own newer one, or an older one more.
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
	assert.Assert(t, !known, "nothing came from the store itself")

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

	// A confirmation from the future would come from a clock that cannot be trusted.
	tracker.ConfirmRelayed(200 * time.Second)
	age, _ = tracker.SharedAge()
	assert.Equal(t, age, time.Duration(0))
}
