package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// Guards against counts of a process that add up instead of being replaced, and against those of another window.
func TestUsageIsRemembered(t *testing.T) {
	a := &Agent{}
	record := func(process string, number, count int64) {
		_, err := a.RecordUsage(t.Context(), &relay.UsageReport{Entry: "vm-1", Process: process, Windows: []*relay.UsageWindow{
			{Number: number, Counts: []*relay.UsageCount{{Account: "acme", Count: count}}},
		}})
		assert.NilError(t, err)
	}

	record("p-1", 7, 3)
	record("p-1", 7, 5)
	record("p-1", 8, 9)
	record("p-2", 7, 2)

	reply, err := a.ReadUsage(t.Context(), &relay.UsageQuery{Number: 7})
	assert.NilError(t, err)

	counts := map[string]int64{}
	for _, tally := range reply.GetTallies() {
		counts[tally.GetProcess()] = tally.GetCounts()[0].GetCount()
	}

	assert.DeepEqual(t, counts, map[string]int64{"p-1": 5, "p-2": 2})
}

// Guards against an agent that loses the revision of counts, without which a reader cannot tell later counts from earlier ones, and against one
// that forgets the counts of entries of the previous version, which state none.
func TestUsageKeepsItsRevision(t *testing.T) {
	a := &Agent{}
	record := func(process string, revision, count int64) {
		_, err := a.RecordUsage(t.Context(), &relay.UsageReport{Process: process, Windows: []*relay.UsageWindow{
			{Number: 7, Revision: revision, Counts: []*relay.UsageCount{{Account: "acme", Count: count}}},
		}})
		assert.NilError(t, err)
	}

	record("new", 4, 8)
	record("new", 5, 6)
	record("new", 4, 8)
	record("previous", 0, 3)
	record("previous", 0, 2)

	reply, err := a.ReadUsage(t.Context(), &relay.UsageQuery{Number: 7})
	assert.NilError(t, err)

	got := map[string][2]int64{}
	for _, tally := range reply.GetTallies() {
		got[tally.GetProcess()] = [2]int64{tally.GetRevision(), tally.GetCounts()[0].GetCount()}
	}

	assert.DeepEqual(t, got, map[string][2]int64{"new": {5, 6}, "previous": {0, 2}})
}
