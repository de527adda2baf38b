package usage_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
)

const (
	length = 5 * time.Second
	due    = 10 * time.Second
	// offset places the local time 0 at the begin of window 1000.
	offset = 1000 * length
)

// Guards against requests that are counted in another window than that in which they began, or are lost before the true time is known.
func TestCounterPlacesRequests(t *testing.T) {
	c := &usage.Counter{Length: length, Due: due}
	c.Begin(time.Second, "acme")
	c.Begin(6*time.Second, "acme")
	assert.Equal(t, len(c.Windows(6*time.Second)), 0, "the true time is not known")

	c.SetOffset(offset)
	c.Begin(7*time.Second, "acme")
	c.Begin(7*time.Second, "birch")
	assert.DeepEqual(t, c.Windows(8*time.Second), []usage.Window{
		{Number: 1000, Revision: 1, Counts: usage.Counts{"acme": 1}}, {Number: 1001, Revision: 1, Counts: usage.Counts{"acme": 2, "birch": 1}},
	})

	c.Begin(27*time.Second, "acme")
	assert.DeepEqual(t, c.Windows(27*time.Second), []usage.Window{{Number: 1005, Revision: 2, Counts: usage.Counts{"acme": 1}}})
}

// Guards against a plain request that counts although a server refused it, in the window in which it ended, or only once it has ended.
func TestCounterOfPlainRequests(t *testing.T) {
	cases := map[string]struct {
		decided time.Duration
		ran     bool
		// before and after are the counts before and after it is decided.
		before, after int64
	}{
		"ran":                 {decided: 4100 * time.Millisecond, ran: true, after: 1},
		"refused":             {decided: 4100 * time.Millisecond},
		"ran for long":        {decided: 6 * time.Second, ran: true, before: 1, after: 1},
		"refused after long":  {decided: 6 * time.Second, before: 1},
		"decided at its send": {decided: 4 * time.Second, ran: true, after: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			counter := &usage.Counter{Length: length, Due: due}
			counter.SetOffset(offset)
			sent := counter.Send(4*time.Second, "acme")
			assert.Equal(t, countOf(counter.Windows(c.decided)), c.before)
			counter.Decide(sent, c.ran)
			assert.Equal(t, countOf(counter.Windows(c.decided)), c.after)
		})
	}
}

// countOf returns the count of acme in window 1000.
func countOf(windows []usage.Window) int64 {
	for _, window := range windows {
		if window.Number == 1000 {
			return window.Counts["acme"]
		}
	}

	return 0
}

// Guards against a memory that grows with requests, client accounts or entries.
func TestMemoryIsBounded(t *testing.T) {
	counter := &usage.Counter{Length: length, Due: due}
	counter.SetOffset(offset)

	for i := range 20_000 {
		counter.Begin(0, fmt.Sprint(i))
	}

	assert.Equal(t, len(counter.Windows(0)[0].Counts), 1<<14)

	var records usage.Records

	now := time.Now()
	for i := range 600 {
		records.Put(now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), []usage.Window{{Number: 5, Counts: usage.Counts{"acme": 1, "birch": -1}}})
	}

	assert.Equal(t, len(records.Get(5)), 512)

	for number := range int64(50) {
		records.Put(now, "599", []usage.Window{{Number: number, Counts: usage.Counts{"acme": 1}}})
	}

	assert.Equal(t, len(records.Get(5)), 511, "a process keeps its latest windows only")

	records.Put(now.Add(2*time.Minute), "new", []usage.Window{{Number: 5}})
	assert.Equal(t, len(records.Get(5)), 1, "processes that report no more are forgotten")
}

// Guards against counts of one process that add up, against those of two processes that do not, and against earlier counts that prevail over later ones.
func TestSum(t *testing.T) {
	cases := map[string]struct {
		tallies []usage.Tally
		want    usage.Counts
	}{
		"previous version": {
			tallies: []usage.Tally{
				{Process: "a", Counts: usage.Counts{"acme": 3, "birch": 1}},
				{Process: "a", Counts: usage.Counts{"acme": 5}},
				{Process: "b", Counts: usage.Counts{"acme": 2}},
			},
			want: usage.Counts{"acme": 7, "birch": 1},
		},
		"later revision is lower": {
			tallies: []usage.Tally{
				{Process: "a", Revision: 2, Counts: usage.Counts{"acme": 4}},
				{Process: "a", Revision: 3, Counts: usage.Counts{"acme": 3}},
				{Process: "a", Revision: 1, Counts: usage.Counts{"acme": 5, "birch": 1}},
				{Process: "b", Revision: 1, Counts: usage.Counts{"acme": 2}},
			},
			want: usage.Counts{"acme": 5},
		},
		"agent of the previous version drops the revision": {
			tallies: []usage.Tally{{Process: "a", Counts: usage.Counts{"acme": 5}}, {Process: "a", Revision: 3, Counts: usage.Counts{"acme": 4}}},
			want:    usage.Counts{"acme": 4},
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, usage.Sum(c.tallies), c.want) })
	}
}

// Guards against a true time that follows the clock of one VM.
func TestTrueOffset(t *testing.T) {
	cases := map[string]struct {
		differences []time.Duration
		want        time.Duration
	}{
		"alone":             {[]time.Duration{7}, 7},
		"one is late":       {[]time.Duration{10, -5000, 11}, 10},
		"one is early":      {[]time.Duration{10, 5000, 11}, 11},
		"two of five wrong": {[]time.Duration{10, 5000, 11, 4000, 12}, 12},
		"two":               {[]time.Duration{9, 8}, 8},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, usage.TrueOffset(c.differences), c.want) })
	}
}

// Guards against windows that are fixed early, twice or never, and reports that are sent too late or for ever.
func TestBook(t *testing.T) {
	book := usage.Book{Length: length, Due: due}
	assert.Equal(t, len(book.ToFix(offset)), 0, "no window is known")

	book.Start(offset + time.Second)
	assert.DeepEqual(t, book.ToFix(offset+1200*time.Millisecond), []int64{999})
	assert.Equal(t, book.FixAt(), offset+usage.FixDelay)

	fixed := lease.Report{Window: 999, Counts: map[string]int64{"acme": 4}}
	content := book.WithFixed([]lease.Report{fixed}, 1000)
	assert.Equal(t, len(book.ToSend()), 0, "a report is sent only once the row has it")

	book.Adopt(content)
	assert.DeepEqual(t, book.ToSend(), []lease.Report{fixed})
	assert.Equal(t, len(book.ToFix(offset+length+time.Second)), 0)

	book.Adopt(lease.Content{Reports: []lease.Report{{Window: 999, Counts: map[string]int64{"acme": 9}}}})
	assert.DeepEqual(t, book.ToSend(), []lease.Report{fixed})

	book.Done(999)
	assert.Equal(t, len(book.ToSend()), 0)

	assert.Equal(t, book.Overdue(offset+2*length), int64(0))
	assert.Equal(t, book.Overdue(offset+5*length), int64(3))
	assert.DeepEqual(t, book.ToFix(offset+5*length+2*time.Second), []int64{1003, 1004})

	book.SkipBefore(offset + 5*length + time.Second)
	assert.DeepEqual(t, book.ToFix(offset+7*length), []int64{1005})
}

// Guards against a row that grows, and against a report that makes room for others while it can still arrive in time.
func TestBookKeepsReportsThatCanArrive(t *testing.T) {
	book := usage.Book{Length: length, Due: due}

	for window := int64(1); window <= 9; window++ {
		book.Adopt(book.WithFixed([]lease.Report{{Window: window}}, window+1))
	}

	assert.DeepEqual(t, book.Content(), lease.Content{Reports: []lease.Report{{Window: 7}, {Window: 8}, {Window: 9}}, NextWindow: 10})
}

// Guards against attempts to fix one window with various counts, each of which may have taken effect.
func TestBookProposesTheSameCounts(t *testing.T) {
	book := usage.Book{Length: length, Due: due}
	book.Start(offset)

	_, ok := book.Proposed(999)
	assert.Assert(t, !ok)

	book.Propose(lease.Report{Window: 999, Counts: map[string]int64{"acme": 4}})
	report, ok := book.Proposed(999)
	assert.Assert(t, ok)
	assert.Equal(t, report.Counts["acme"], int64(4))
}

// Guards against a plain request that a server refuses after its count was sent, and that the report contains nevertheless: an agent that missed the
// later message still has the higher count.
func TestRefusedRequestLeavesTheSum(t *testing.T) {
	counter := &usage.Counter{Length: length, Due: due}
	counter.SetOffset(offset)
	counter.Begin(time.Second, "acme")
	sent := counter.Send(4*time.Second, "acme")

	var agents [2]usage.Records

	now := time.Now()
	early := counter.Windows(5050 * time.Millisecond)
	agents[0].Put(now, "a", early)
	counter.Decide(sent, false)
	agents[1].Put(now, "a", counter.Windows(5700*time.Millisecond))
	agents[1].Put(now, "b", []usage.Window{{Number: 1000, Counts: usage.Counts{"acme": 3}}})
	assert.DeepEqual(t, usage.Sum(append(agents[0].Get(1000), agents[1].Get(1000)...)), usage.Counts{"acme": 4})

	// The earlier message arrives once more, late.
	agents[1].Put(now, "a", early)
	assert.DeepEqual(t, usage.Sum(agents[1].Get(1000)), usage.Counts{"acme": 4})
}

// Guards against a refused request that is taken out of another window than that in which it was counted, after the true time was corrected.
func TestRefusedRequestLeavesItsWindow(t *testing.T) {
	counter := &usage.Counter{Length: length, Due: due}
	counter.SetOffset(offset)
	counter.Begin(4*time.Second, "acme")
	sent := counter.Send(4990*time.Millisecond, "acme")
	assert.Equal(t, countOf(counter.Windows(5500*time.Millisecond)), int64(2))

	counter.SetOffset(offset + 20*time.Millisecond)
	counter.Decide(sent, false)
	assert.Equal(t, countOf(counter.Windows(5500*time.Millisecond)), int64(1))
}

// Guards against counts that are taken for complete although only agents that have not answered may know those of an entry.
func TestComplete(t *testing.T) {
	cases := map[string]struct {
		agents, answered int
		want             bool
	}{
		"no agents":                  {want: true},
		"the only one":               {agents: 1, answered: 1, want: true},
		"the only one is missing":    {agents: 1},
		"one of two":                 {agents: 2, answered: 1, want: true},
		"none of two":                {agents: 2},
		"none of three":              {agents: 3},
		"two missing":                {agents: 9, answered: 7, want: true},
		"as many as keep an entry's": {agents: 9, answered: 6},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, usage.Complete(c.agents, c.answered), c.want) })
	}
}
