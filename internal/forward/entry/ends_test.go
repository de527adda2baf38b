package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
)

// Guards against a broken connection that counts as the end of its server although nothing shows that the server has ended, and against an
// end that only the list shows and that is not recognized.
func TestPendingEnds(t *testing.T) {
	broken := fleet.Server{ID: "a", Address: "h:1", StartedAt: 5}
	now := time.Unix(1000, 0)

	cases := map[string]struct {
		listed    []fleet.Server
		after     time.Duration
		confirmed int
	}{
		"still listed":               {listed: []fleet.Server{broken}},
		"not listed":                 {},
		"other addresses":            {listed: []fleet.Server{broken, {ID: "b", Address: "h:2", StartedAt: 9}}},
		"another id at the address":  {listed: []fleet.Server{{ID: "b", Address: "h:1", StartedAt: 9}}, confirmed: 1},
		"started again under its id": {listed: []fleet.Server{{ID: "a", Address: "h:1", StartedAt: 6}}, confirmed: 1},
		"too late":                   {listed: []fleet.Server{broken}, after: pendingEndTime + time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var pending pendingEnds

			pending.add(pendingEnd{server: broken, crash: quarantine.Crash{ID: "c", At: now}})

			confirmed := pending.confirm(now.Add(c.after), func() []fleet.Server { return c.listed })
			assert.Equal(t, len(confirmed), c.confirmed)

			dropped := c.confirmed > 0 || c.after > pendingEndTime
			assert.Equal(t, len(pending.ends) == 0, dropped)
		})
	}

	var pending pendingEnds
	for range 2 * maxPendingEnds {
		pending.add(pendingEnd{server: broken, crash: quarantine.Crash{At: now}})
	}

	assert.Equal(t, len(pending.ends), maxPendingEnds)
}

// Guards against a sound request that is held: its responses were lost twice, the server was listed under another id some time later,
// and the request ran to its end in between. Seed 122 of TestMachineSeeds found it.
func TestRunBeforeAnEndIsConfirmedShowsARequestSound(t *testing.T) {
	cases := map[string]bool{"ran in between": true, "never ran": false}

	for name, ran := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := testEntry(nil)
				e.Quarantine.Tracker.Random = func() float64 { return 0 }

				suspects := func(request string) []quarantine.Suspect {
					subject := quarantine.RequestSubject(testJob(catalog.Idempotent).digest())

					return []quarantine.Suspect{{Request: request, SentAt: time.Now(), Subjects: []string{subject}}}
				}

				for _, id := range []string{"a", "b"} {
					server := fleet.Server{ID: id, Address: "h:1", StartedAt: 5}
					e.ends.add(pendingEnd{server: server, crash: quarantine.Crash{ID: id, Server: id, At: time.Now(), Suspects: suspects("lost by " + id)}})
					time.Sleep(time.Second)

					if ran {
						e.Quarantine.recordRun(testJob(catalog.Idempotent), true, e.ends.any())
					}
				}

				e.Fleet.Put(fleet.Server{ID: "c", Address: "h:1", StartedAt: 6})
				e.confirmEnds()
				assert.Equal(t, e.Quarantine.check(testJob(catalog.Idempotent)) == nil, ran)
			})
		})
	}
}
