package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
)

// step is an event in the history of one tracker, at a time in milliseconds.
type step struct {
	at int
	// crash is the id of a crash; empty for a beginning of a response.
	crash    string
	suspects []quarantine.Suspect
	// sound holds the parts on which a response begins.
	sound []string
}

func suspect(request string, parts ...string) quarantine.Suspect {
	return quarantine.Suspect{Request: request, Subjects: parts}
}

func crash(at int, id string, suspects ...quarantine.Suspect) step {
	return step{at: at, crash: id, suspects: suspects}
}

func sound(at int, parts ...string) step {
	return step{at: at, sound: parts}
}

var start = time.Unix(1000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func play(tracker *quarantine.Tracker, steps []step) {
	for _, s := range steps {
		if s.crash == "" {
			tracker.RecordSound(at(s.at), s.sound)
			continue
		}

		tracker.RecordCrash(at(s.at), quarantine.Crash{ID: s.crash, At: at(s.at), Suspects: s.suspects})
	}
}

func newTracker() *quarantine.Tracker {
	return &quarantine.Tracker{Random: func() float64 { return 0 }}
}

// Guards against a part that goes on ending servers, and against parts that are held although something else ends the servers.
func TestQuarantine(t *testing.T) {
	cases := map[string]struct {
		steps []step
		held  []string
		free  []string
	}{
		"three crashes": {
			steps: []step{crash(0, "1", suspect("r1", "a", "bad")), sound(100, "a"), crash(400, "2", suspect("r2", "b", "bad")), sound(500, "b"), crash(800, "3", suspect("r3", "a", "bad"))},
			held:  []string{"bad"}, free: []string{"a", "b"},
		},
		"two crashes": {
			steps: []step{crash(0, "1", suspect("r1", "bad")), crash(400, "2", suspect("r2", "bad"))},
			free:  []string{"bad"},
		},
		"one request and its repeats": {
			steps: []step{crash(0, "1", suspect("r1", "bad")), crash(400, "2", suspect("r1", "bad")), crash(800, "3", suspect("r1", "bad"))},
			free:  []string{"bad"},
		},
		"one crash reported again": {
			steps: []step{crash(0, "1", suspect("r1", "bad")), crash(0, "1", suspect("r2", "bad")), crash(0, "1", suspect("r3", "bad"))},
			free:  []string{"bad"},
		},
		"loss of a failure domain": {
			steps: []step{crash(0, "1", suspect("r1", "new")), crash(10, "2", suspect("r2", "new")), crash(20, "3", suspect("r3", "new")), crash(200, "4", suspect("r4", "new"))},
			free:  []string{"new"},
		},
		"sound in between": {
			steps: []step{crash(0, "1", suspect("r1", "a")), crash(400, "2", suspect("r2", "a")), sound(500, "a"), crash(800, "3", suspect("r3", "a")), crash(1200, "4", suspect("r4", "a"))},
			free:  []string{"a"},
		},
		"rare part that was sound": {
			steps: []step{sound(0, "rare"), crash(400, "1", suspect("r1", "rare", "bad")), crash(800, "2", suspect("r2", "rare", "bad")), crash(1200, "3", suspect("r3", "rare", "bad")), crash(1600, "4", suspect("r4", "rare", "bad")), crash(2000, "5", suspect("r5", "rare", "bad"))},
			held:  []string{"bad"}, free: []string{"rare"},
		},
		"part that turned bad": {
			steps: []step{sound(0, "bad"), crash(400, "1", suspect("r1", "bad")), crash(800, "2", suspect("r2", "bad")), crash(1200, "3", suspect("r3", "bad")), crash(1600, "4", suspect("r4", "bad")), crash(2000, "5", suspect("r5", "bad"))},
			held:  []string{"bad"},
		},
		"two bad parts": {
			steps: []step{
				sound(0, "a"), crash(100, "1", suspect("r1", "a", "bad")), crash(400, "2", suspect("r2", "a", "worse")), crash(700, "3", suspect("r3", "bad")),
				crash(1000, "4", suspect("r4", "worse")), sound(1100, "a"), crash(1300, "5", suspect("r5", "a", "bad"), suspect("r6", "a", "worse")),
			},
			held: []string{"bad", "worse"}, free: []string{"a"},
		},
		"innocent suspects": {
			steps: []step{crash(0, "1", suspect("r1", "bad"), suspect("s1", "x")), crash(400, "2", suspect("r2", "bad"), suspect("s2", "y")), crash(800, "3", suspect("r3", "bad"), suspect("s3", "x"))},
			held:  []string{"bad"}, free: []string{"x", "y"},
		},
		"new parts, one with fewer suspects": {
			steps: []step{
				crash(0, "1", suspect("r1", "all", "bad"), suspect("s1", "all", "x")), crash(400, "2", suspect("r2", "all", "bad"), suspect("s2", "all", "y")),
				crash(800, "3", suspect("r3", "all", "bad"), suspect("s3", "all", "x")),
			},
			held: []string{"bad"}, free: []string{"all", "x", "y"},
		},
		"released by a sound beginning": {
			steps: []step{crash(0, "1", suspect("r1", "a")), crash(400, "2", suspect("r2", "a")), crash(800, "3", suspect("r3", "a")), sound(900, "a")},
			free:  []string{"a"},
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			play(tracker, c.steps)

			now := at(c.steps[len(c.steps)-1].at + 1)

			for _, part := range c.held {
				_, refused := tracker.Check(now, []string{"x", part})
				assert.Assert(t, refused, part)
			}

			for _, part := range c.free {
				_, refused := tracker.Check(now, []string{part})
				assert.Assert(t, !refused, part)
			}

			assert.Equal(t, tracker.Held(), len(c.held))
		})
	}
}

// Guards against a hold that never ends, and against trials that end servers one after the other.
func TestTrialsOfAPart(t *testing.T) {
	tracker := newTracker()
	play(tracker, []step{crash(0, "1", suspect("r1", "bad")), crash(400, "2", suspect("r2", "bad")), crash(800, "3", suspect("r3", "bad"))})

	parts := []string{"bad"}
	trials := 0

	for ms := 1000; ms < 20*60*1000; ms += 100 {
		if _, refused, trial := tracker.Admit(at(ms), parts); !refused {
			assert.Equal(t, trial, "bad")

			trials++

			tracker.RecordCrash(at(ms+50), quarantine.Crash{ID: fmt.Sprint("trial", ms), At: at(ms + 50), Suspects: []quarantine.Suspect{suspect(fmt.Sprint(ms), "bad")}})
		}
	}

	// After 1, 3, 7 and 15 minutes.
	assert.Equal(t, trials, 4)

	play(tracker, []step{sound(20*60*1000, "bad")})
	assert.Equal(t, tracker.Held(), 0)
}

// Guards against repeats of a request that end further servers, and against sound requests that are not repeated after the end of their
// server.
func TestRepeatsAfterTheEndOfAServer(t *testing.T) {
	tracker := newTracker()
	parts := []string{"a", "bad"}

	assert.Assert(t, tracker.MayRepeat("r1", parts), "no evidence")

	play(tracker, []step{sound(0, "a"), crash(100, "1", suspect("r1", "a", "bad"), suspect("s1", "a"))})
	assert.Assert(t, tracker.MayRepeat("r1", parts), "first crash")
	assert.Assert(t, tracker.MayRepeat("s1", []string{"a"}), "known to be sound")
	assert.Assert(t, !tracker.MayRepeat("r2", parts), "suspected in another request")
}

// Guards against memory that grows with parts and crashes without number.
func TestTrackerIsBounded(t *testing.T) {
	tracker := newTracker()

	for i := range 2000 {
		part := fmt.Sprint("p", i/4)
		tracker.RecordCrash(at(i*300), quarantine.Crash{ID: fmt.Sprint(i), At: at(i * 300), Suspects: []quarantine.Suspect{suspect(fmt.Sprint("r", i), part)}})
	}

	assert.Assert(t, tracker.Held() <= 256, "%d parts held", tracker.Held())
	assert.Assert(t, tracker.Tracked() <= 256, "%d crashes tracked", tracker.Tracked())
}
