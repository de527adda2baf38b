package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
)

// Guards against crashes that are attributed to responses that broke off for another reason, and against those that are lost.
func TestEndsOfAServer(t *testing.T) {
	cases := map[string]struct {
		brokenAt []int
		parts    []string
		endAt    int
		want     int
	}{
		"just before":      {brokenAt: []int{0, 10}, parts: []string{"a"}, endAt: 70, want: 2},
		"after the window": {brokenAt: []int{0, 900}, parts: []string{"a"}, endAt: 1200, want: 1},
		"long before":      {brokenAt: []int{0}, parts: []string{"a"}, endAt: 5000},
		"no response":      {endAt: 70},
		"no shared part":   {brokenAt: []int{0}, endAt: 70},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var monitor quarantine.Monitor

			for i, ms := range c.brokenAt {
				monitor.RecordBroken(at(ms), suspect(fmt.Sprint(i), c.parts...))
			}

			crash, ok := monitor.RecordEnd(at(c.endAt), "c")
			assert.Equal(t, ok, c.want > 0)
			assert.Equal(t, len(crash.Suspects), c.want)

			_, again := monitor.RecordEnd(at(c.endAt+200), "d")
			assert.Assert(t, !again, "the same responses count once")
		})
	}
}

// monitorWithCrash returns a monitor whose server has ended under a request with part "a" at 100 ms.
func monitorWithCrash() *quarantine.Monitor {
	monitor := &quarantine.Monitor{}
	monitor.RecordBroken(at(100), suspect("r", "a"))
	monitor.RecordEnd(at(150), "c")

	return monitor
}

// Guards against evidence that is sent again and again because each entry states the same, and against news that is kept back.
func TestNewsAboutASuspect(t *testing.T) {
	monitor := monitorWithCrash()
	before := func(part string) []quarantine.Sound { return []quarantine.Sound{{Subject: part, At: at(0)}} }
	after := []quarantine.Sound{{Subject: "a", At: at(500)}}

	assert.Assert(t, !monitor.RecordSound(before("other")), "not suspected")
	assert.Assert(t, monitor.RecordSound(before("a")), "sound before the crash")
	assert.Assert(t, !monitor.RecordSound(before("a")), "told again")
	assert.Assert(t, monitor.RecordSound(after), "sound after the crash")
	assert.Assert(t, !monitor.RecordSound(after), "told again")

	evidence := monitor.Evidence(at(600))
	assert.Equal(t, len(evidence.Crashes), 1)
	assert.DeepEqual(t, evidence.Sound, after)
}

// Guards against a hold that is lost with the agents that saw the crashes, and against one that outlives a sound beginning.
func TestHoldsThatEntriesReport(t *testing.T) {
	var monitor quarantine.Monitor

	hold := quarantine.Hold{Subject: "a", Since: at(100), Until: at(60000), Period: time.Minute}

	assert.Assert(t, monitor.RecordHolds(at(200), []quarantine.Hold{hold}))
	assert.Assert(t, !monitor.RecordHolds(at(200), []quarantine.Hold{hold}), "told by another entry")

	postponed := hold
	postponed.Until = at(120000)
	assert.Assert(t, !monitor.RecordHolds(at(250), []quarantine.Hold{postponed}), "only for entries that start later")
	assert.Equal(t, monitor.Evidence(at(260)).Holds[0].Until, postponed.Until)

	late := newTracker()
	assert.Assert(t, late.Adopt(monitor.Evidence(at(300)).Holds[0]))

	_, refused := late.Check(at(300), []string{"a"})
	assert.Assert(t, refused)

	assert.Assert(t, monitor.RecordSound([]quarantine.Sound{{Subject: "a", At: at(400)}}))

	evidence := monitor.Evidence(at(500))
	assert.Equal(t, len(evidence.Holds), 0)
	assert.DeepEqual(t, late.LearnSound(evidence.Sound), []string{"a"})
	assert.Assert(t, !monitor.RecordHolds(at(600), []quarantine.Hold{hold}), "older than the sound beginning")
}

// Guards against memory and messages that grow with crashes and suspects without number.
func TestMonitorIsBounded(t *testing.T) {
	var monitor quarantine.Monitor

	for i := range 100 {
		for j := range 100 {
			monitor.RecordBroken(at(i*300), suspect(fmt.Sprint(i, j), "a"))
		}

		monitor.RecordEnd(at(i*300), fmt.Sprint(i))
	}

	evidence := monitor.Evidence(at(100 * 300))
	assert.Equal(t, len(evidence.Crashes), 16)
	assert.Equal(t, len(evidence.Crashes[0].Suspects), 64)
}

// Guards against a part that is held because this entry did not know of its sound beginnings, and against the release of one that ends
// servers although responses on it began long ago.
func TestBeginningsThatOthersKnow(t *testing.T) {
	cases := map[string]struct {
		crashes  int
		soundAt  int
		released bool
	}{
		"sound before few crashes":  {crashes: 3, soundAt: -1000, released: true},
		"sound before many crashes": {crashes: 6, soundAt: -1000},
		"sound after the crashes":   {crashes: 6, soundAt: 5000, released: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()

			for i := range c.crashes {
				tracker.RecordCrash(at(i*300), quarantine.Crash{ID: fmt.Sprint(i), At: at(i * 300), Suspects: []quarantine.Suspect{suspect(fmt.Sprint(i), "a")}})
			}

			assert.Equal(t, tracker.Held(), 1)

			released := tracker.LearnSound([]quarantine.Sound{{Subject: "a", At: at(c.soundAt)}})
			assert.Equal(t, len(released) > 0, c.released)
			assert.Equal(t, tracker.Held() == 0, c.released)
			assert.Assert(t, !tracker.Adopt(quarantine.Hold{Subject: "a", Since: at(0), Until: at(60000)}), "known to be sound, or held")
		})
	}
}

// Guards against an adapter whose load ends its server and is not blamed, and against one that is blamed although the server holds it.
func TestEndDuringLoads(t *testing.T) {
	bad, held, old := quarantine.AdapterSubject("m", "bad"), quarantine.AdapterSubject("m", "held"), quarantine.AdapterSubject("m", "old")

	var monitor quarantine.Monitor

	monitor.RecordLoad(at(0), old)
	monitor.RecordLoad(at(19_000), held)
	monitor.RecordLoad(at(19_100), bad)
	monitor.RecordLoaded(func(subject string) bool { return subject == held })

	crash, ok := monitor.RecordEnd(at(20_000), "c")
	assert.Assert(t, ok)
	assert.Equal(t, len(crash.Suspects), 1)
	assert.DeepEqual(t, crash.Suspects[0], quarantine.Suspect{SentAt: at(19_100), Subjects: []string{bad}})

	_, ok = monitor.RecordEnd(at(20_100), "d")
	assert.Assert(t, !ok, "one end is reported twice")
}

// Guards against an agent that computes the digest of each request, under its lock, long after the last hold for which it may refuse one.
func TestHoldsThatRefuseWaitingRequests(t *testing.T) {
	cases := map[string]struct {
		soundAt, now int
		want         bool
	}{
		"just begun":      {now: 200, want: true},
		"released":        {soundAt: 300, now: 400},
		"begun long ago":  {now: 10_000},
		"sound before it": {soundAt: 50, now: 200, want: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var monitor quarantine.Monitor

			assert.Assert(t, !monitor.HasHolds(at(c.now)))
			monitor.RecordHolds(at(150), []quarantine.Hold{{Subject: "a", Since: at(100), Until: at(60_000), Period: time.Minute}})

			if c.soundAt > 0 {
				monitor.RecordSound([]quarantine.Sound{{Subject: "a", At: at(c.soundAt)}})
			}

			_, refused := monitor.Check(at(c.now), []string{"a"})
			assert.Equal(t, refused, c.want)
			assert.Equal(t, monitor.HasHolds(at(c.now)), c.want)
		})
	}
}

// Guards against a hold that an agent does not record, so that requests which wait there are sent, because it keeps too many that were released.
func TestReleasedHoldsLeaveRoom(t *testing.T) {
	cases := map[string]struct{ released, want bool }{
		"held":     {},
		"released": {released: true, want: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var monitor quarantine.Monitor

			for i := range 300 {
				monitor.RecordHolds(at(100), []quarantine.Hold{{Subject: fmt.Sprint(i), Since: at(100), Until: at(60_000), Period: time.Minute}})
			}

			if c.released {
				for i := range 300 {
					monitor.RecordSound([]quarantine.Sound{{Subject: fmt.Sprint(i), At: at(1000)}})
				}
			}

			hold := quarantine.Hold{Subject: "new", Since: at(2000), Until: at(60_000), Period: time.Minute}
			assert.Equal(t, monitor.RecordHolds(at(2000), []quarantine.Hold{hold}), c.want)

			_, refused := monitor.Check(at(2100), []string{"new"})
			assert.Equal(t, refused, c.want)
		})
	}
}
