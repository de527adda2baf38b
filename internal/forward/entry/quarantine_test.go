package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
)

// countingGranter counts the calls and grants what is wanted.
type countingGranter struct{ calls int }

func (g *countingGranter) Grant(_ context.Context, _ string, wanted float64) (float64, bool) {
	g.calls++
	return wanted, true
}

// holdPart makes the entry hold a part.
func holdPart(e *Entry, part string) {
	e.Quarantine.Tracker.Random = func() float64 { return 0 }

	for i := range 3 {
		id := fmt.Sprint(i)
		crash := quarantine.Crash{
			ID: id, At: time.Now().Add(time.Duration(i-3) * time.Second), Suspects: []quarantine.Suspect{{Request: id, Subjects: []string{part}}},
		}
		e.Quarantine.ReceiveEvidence("s", quarantine.Evidence{Crashes: []quarantine.Crash{crash}})
	}
}

// Guards against a client account that pays for requests which are kept from the servers, and against refusals of requests without the
// part.
func TestQuarantinedRequestsAreNotCharged(t *testing.T) {
	cases := map[string]struct {
		parts []message.PromptPart
		kind  fault.Kind
		calls int
	}{
		"held part":          {parts: []message.PromptPart{{ID: "a"}, {ID: "bad"}, {ID: "own"}}, kind: fault.Quarantined},
		"its own part alike": {parts: []message.PromptPart{{ID: "a"}, {ID: "bad"}}, kind: fault.NoServer, calls: 1},
		"other parts":        {parts: []message.PromptPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}, kind: fault.NoServer, calls: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			granter := &countingGranter{}
			e := testEntry(nil)
			e.Fleet, e.Changed = &fleet.Fleet{}, make(chan struct{}, 1)
			e.Fleet.Put()
			e.Limiter = &quota.Limiter{Granter: granter, Entries: func() int { return 1 }}
			e.Bounds.MaxRevocationDelay = time.Minute
			e.Freshness.Confirm(freshness.Clock(), 0)

			route := catalog.Route{Name: "r", Host: "h", Prefix: "/a/", Stream: true, MaxAttempts: 1, Timeout: time.Minute, Targets: []catalog.Target{{Service: "s", Weight: 1}}}
			service := catalog.Service{Name: "s", Engine: &catalog.Engine{}}
			account := catalog.Account{Name: "acme", Keys: []string{"k"}, Rate: 1000, Burst: 1000}
			e.Apply(catalog.New(1, []catalog.Route{route}, []catalog.Service{service}, []catalog.Account{account}, catalog.Limits{}))
			holdPart(e, "bad")

			sink := &recordingSink{}
			e.Serve(t.Context(), &message.Request{
				ID: "x", Host: "h", Path: "/a/", Key: "k", Arrived: time.Now(), PromptParts: c.parts, PromptTokens: 10, MaxOutputTokens: 10,
			}, sink)

			assert.Equal(t, sink.err.Kind, c.kind)
			assert.Equal(t, granter.calls, c.calls)
		})
	}
}
