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
	assert.Equal(t, book.FixAt(offset), offset+usage.FixDelay)

	fixed := lease.Report{Window: 999, Counts: map[string]int64{"acme": 4}}
	content := book.WithFixed([]lease.Report{fixed}, []int64{999})
	assert.Equal(t, len(book.ToSend()), 0, "a report is sent only once the row has it")

	book.Adopt(content)
	assert.DeepEqual(t, book.ToSend(), []lease.Report{fixed})
	assert.Equal(t, len(book.ToFix(offset+length+time.Second)), 0)

	book.Adopt(lease.Content{Reports: []lease.Report{fixed}})
	assert.DeepEqual(t, book.ToSend(), []lease.Report{fixed})

	book.Done(999)
	assert.Equal(t, len(book.ToSend()), 0)

	assert.Equal(t, book.Overdue(offset+2*length), int64(0))
	assert.Equal(t, book.Overdue(offset+5*length), int64(3))
	assert.DeepEqual(t, book.ToFix(offset+5*length+2*time.Second), []int64{1003, 1004})

	book.SkipBefore(offset + 5*length + time.Second)
	assert.DeepEqual(t, book.ToFix(offset+7*length), []int64{1005})
}

// Guards against a report whose counts differ from those that another holder may have sent, since both holders have written the window after a
// restore of the store, and against such a report that a successor finds in the row.
func TestBookSendsNoDisputedReport(t *testing.T) {
	own, other := lease.Report{Window: 999, Counts: map[string]int64{"acme": 4}}, lease.Report{Window: 999, Counts: map[string]int64{"acme": 9}}

	book := usage.Book{Length: length, Due: due}
	book.Adopt(lease.Content{Reports: []lease.Report{own}, NextWindow: 1000})

	for _, row := range [][]lease.Report{{other}, {other}, {own}, {{Window: 1000}, other}} {
		book.Adopt(lease.Content{Reports: row, NextWindow: 1000})

		for _, report := range append(book.ToSend(), book.Content().Reports...) {
			assert.Assert(t, report.Window != 999, "%+v", report)
		}
	}
}

// Guards against a report with other counts than were sent, after a restore of the store, if it comes from a write that arrived late and the process
// that takes the lease does not notice that it is overdue, since its clock is behind.
func TestBookDropsReportsOfSkippedWindows(t *testing.T) {
	book := usage.Book{Length: length, Due: due}
	book.Adopt(lease.Content{Reports: []lease.Report{{Window: 999}, {Window: 1001}}, NextWindow: 1002})
	book.SkipBefore(offset)
	assert.Equal(t, len(book.ToSend()), 0)
	assert.Equal(t, len(book.Content().Reports), 0)
	assert.Equal(t, book.Content().NextWindow, int64(1002))
}

// Guards against a row that grows, and against a report that makes room for others while it can still arrive in time.
func TestBookKeepsReportsThatCanArrive(t *testing.T) {
	book := usage.Book{Length: length, Due: due}

	for window := int64(1); window <= 9; window++ {
		book.Adopt(book.WithFixed([]lease.Report{{Window: window}}, []int64{window}))
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

// Guards against windows that are skipped after the clock was ahead, against missed windows that are fixed twice or by a process that cannot know
// whether they were, and against their reports being dropped for those of windows after them.
func TestBookFixesMissedWindowsOnce(t *testing.T) {
	end := func(window int64) time.Duration { return usage.End(window, length) + usage.FixDelay }
	report := func(window int64) lease.Report {
		return lease.Report{Window: window, Counts: map[string]int64{"acme": window}}
	}

	book := usage.Book{Length: length, Due: due}
	book.Adopt(lease.Content{Reports: []lease.Report{report(98), report(99), report(100)}, NextWindow: 101})

	// The clock is ahead by twelve windows, and three are fixed.
	assert.Equal(t, book.Overdue(end(113)), int64(11))
	assert.DeepEqual(t, book.ToFix(end(113)), []int64{112, 113})
	book.Adopt(book.WithFixed([]lease.Report{report(112), report(113)}, []int64{112, 113}))
	book.Adopt(book.WithFixed([]lease.Report{report(114)}, []int64{114}))
	assert.Equal(t, len(book.ToFix(end(114))), 0)

	// The clock is right again.
	assert.Equal(t, book.Overdue(end(103)), int64(0))
	assert.DeepEqual(t, book.ToFix(end(103)), []int64{102, 103})

	first := book.WithFixed([]lease.Report{report(102), report(103)}, []int64{102, 103})
	book.Adopt(first)
	assert.Equal(t, len(book.ToFix(end(103))), 0)
	assert.Equal(t, book.FixAt(end(103)), end(104))

	successors := map[string]struct {
		adopt []lease.Content
		// restored is true if the process takes over after a restore of the store.
		restored bool
		want     []int64
	}{
		"successor":                       {adopt: []lease.Content{first}, want: []int64{104}},
		"former holder with more":         {adopt: []lease.Content{{NextWindow: 101}, first}, want: []int64{104}},
		"another one has fixed 104":       {adopt: []lease.Content{first, book.WithFixed(nil, []int64{104})}},
		"reads an older copy in addition": {adopt: []lease.Content{book.WithFixed(nil, []int64{104}), first}},
		"after a restore":                 {adopt: []lease.Content{first}, restored: true},
		"row of the previous version":     {adopt: []lease.Content{first, {Reports: first.Reports, NextWindow: first.NextWindow}}},
	}

	for name, c := range successors {
		t.Run(name, func(t *testing.T) {
			next := usage.Book{Length: length, Due: due}
			for _, content := range c.adopt {
				next.Adopt(content)
			}

			if c.restored {
				next.SkipBefore(end(103))
			}

			assert.Equal(t, next.Overdue(end(104)), int64(0))
			assert.DeepEqual(t, next.ToFix(end(104)), c.want)

			if !c.restored && len(c.want) > 0 {
				assert.DeepEqual(t, next.ToSend(), []lease.Report{report(100), report(102), report(103), report(112), report(113), report(114)})
				next.Forget(end(104))
				assert.DeepEqual(t, next.Content().Reports, []lease.Report{report(103), report(112), report(113), report(114)})
			}
		})
	}
}

// Guards against a missed window that gets other counts than in an attempt to fix it whose outcome is not known.
func TestBookDoesNotFixMissedWindowsThatWereProposed(t *testing.T) {
	book := usage.Book{Length: length, Due: due}
	book.Adopt(lease.Content{NextWindow: 101})
	book.Propose(lease.Report{Window: 102})
	assert.Equal(t, book.Overdue(usage.End(113, length)), int64(11))
	book.Propose(lease.Report{Window: 112})
	assert.DeepEqual(t, book.ToFix(usage.End(102, length)+usage.FixDelay), []int64(nil))
	assert.DeepEqual(t, book.ToFix(usage.End(103, length)+usage.FixDelay), []int64{103})

	book.Propose(lease.Report{Window: 103, Counts: map[string]int64{"acme": 1}})
	book.Propose(lease.Report{Window: 104})

	report, ok := book.Proposed(103)
	assert.Assert(t, ok)
	assert.Equal(t, report.Counts["acme"], int64(1))
}

// Guards against counts of windows of the future, from a time when the clock was ahead, that displace those of the current ones at agents.
func TestCountsAfterAClockError(t *testing.T) {
	var agent usage.Records

	counter := &usage.Counter{Length: length, Due: due}
	start := time.Now()
	record := func(now time.Duration) {
		counter.Begin(now, "acme")
		agent.Put(start.Add(now), "a", counter.Windows(now))
	}

	counter.SetOffset(offset + time.Hour)

	for now := time.Duration(0); now < 50*time.Second; now += time.Second {
		record(now)
	}

	counter.SetOffset(offset)
	record(51 * time.Second)
	record(56 * time.Second)

	assert.DeepEqual(t, usage.Sum(agent.Get(1010)), usage.Counts{"acme": 1})
	assert.DeepEqual(t, usage.Sum(agent.Get(1011)), usage.Counts{"acme": 1})
}
