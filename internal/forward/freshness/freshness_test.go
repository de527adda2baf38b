package freshness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
)

// Guards against an answer that counts as recent although the process was frozen before it read the answer.
func TestAge(t *testing.T) {
	now := 100 * time.Second
	tracker := &freshness.Tracker{Now: func() time.Duration { return now }}

	_, known := tracker.Age()
	assert.Assert(t, !known)

	// The store's clock is 70 s behind, and the fastest answer takes 4 ms.
	const latency = 4 * time.Millisecond

	tracker.Confirm(now-latency, 30*time.Second-latency)

	age, known := tracker.Age()
	assert.Assert(t, known)
	assert.Equal(t, age, latency, "the first answer is as old as its request")

	now += 2 * time.Second
	tracker.Confirm(now-10*time.Millisecond, 32*time.Second-latency)
	age, _ = tracker.Age()
	assert.Equal(t, age, time.Duration(0))

	// The answer that the store sent at 33 s is read seven seconds late.
	requested := now
	now += 8 * time.Second
	tracker.Confirm(requested, 33*time.Second)
	age, _ = tracker.Age()
	assert.Assert(t, age >= 7*time.Second-latency && age <= 8*time.Second, "%s", age)
}

// Guards against a wrong age after the store's clock was reset: an answer is at least as new as its request.
func TestStoreClockReset(t *testing.T) {
	now := 100 * time.Second
	tracker := &freshness.Tracker{Now: func() time.Duration { return now }}
	tracker.Confirm(now, 1000*time.Second)

	now += 10 * time.Second
	tracker.Confirm(now-5*time.Millisecond, time.Second)

	age, _ := tracker.Age()
	assert.Equal(t, age, 5*time.Millisecond)
}

// Guards against an answer that counts as recent because it is the first one, although the process was frozen before it read the answer.
func TestFirstAnswerIsAsOldAsItsRequest(t *testing.T) {
	now := 100 * time.Second
	tracker := &freshness.Tracker{Now: func() time.Duration { return now }}

	for name, prepare := range map[string]func(){"at the start": func() {}, "after a restore of the store": tracker.Reset} {
		t.Run(name, func(t *testing.T) {
			prepare()

			requested := now
			now += 5 * time.Second
			tracker.Confirm(requested, 30*time.Second)

			age, known := tracker.Age()
			assert.Assert(t, known)
			assert.Equal(t, age, 5*time.Second)
		})
	}
}

// Guards against a confirmation that counts as old as its long poll, although an answer before it has shown the store's clock.
func TestAnswerThatConfirmsNothingMapsTheClock(t *testing.T) {
	now := 100 * time.Second
	tracker := &freshness.Tracker{Now: func() time.Duration { return now }}

	tracker.Recover(30 * time.Second)

	_, known := tracker.Age()
	assert.Assert(t, !known)

	requested := now
	now += 2 * time.Second
	tracker.Confirm(requested, 32*time.Second)

	age, known := tracker.Age()
	assert.Assert(t, known)
	assert.Equal(t, age, time.Duration(0))
}
