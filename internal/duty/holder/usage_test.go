package holder_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
)

// windowsIn returns the numbers of the windows that end within a span.
func windowsIn(from, to time.Time) []int64 {
	var numbers []int64

	length := int64(windowLength)
	for number := from.UnixNano() / length; (number+1)*length <= to.UnixNano(); number++ {
		numbers = append(numbers, number)
	}

	return numbers
}

// reported returns how often the report of a window arrived in time.
func (s *site) reported(window int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	count := 0

	for _, made := range s.calls {
		end := time.Unix(0, (made.report.Window+1)*int64(windowLength))
		if made.report.Window == window && made.at.Sub(end) < due {
			count++
		}
	}

	return count
}

// stop ends all processes.
func (s *site) stop() {
	for _, p := range s.processes {
		p.kill()
		<-p.ended
	}

	synctest.Wait()
}

// Guards against reports that are missing, late or sent twice, and against calls of the store that grow with the number of entries.
func TestEachWindowIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1)
		defer s.stop()

		first := time.Now()
		processes := []*process{s.start("a", true, true), s.start("b", true, true), s.start("c", false, true)}

		time.Sleep(time.Minute)

		for _, window := range windowsIn(first, time.Now().Add(-2*time.Second)) {
			assert.Equal(t, s.reported(window), 1, "window %d", window)
		}

		assert.Equal(t, len(s.violations), 0, "%v", s.violations)
		assert.Equal(t, processes[2].writes+processes[2].polls+processes[2].reads, 0, "an entry that is no reader makes no call")

		writes, polls := 0, 0
		for _, p := range processes {
			writes += p.writes
			polls += p.polls + p.reads
		}

		// Twelve windows, one write that takes the lease, and the calls of the entry that does not get it.
		assert.Assert(t, writes <= 12+2, "%d writes", writes)
		assert.Assert(t, polls <= 12+4, "%d reads and polls", polls)
	})
}

// Guards against a duty that stays without a holder, or a report that a successor lacks or changes, when the holder ends in some way.
func TestSuccessorReportsInTime(t *testing.T) {
	cases := map[string]func(s *site, p *process){
		"killed":              func(_ *site, p *process) { p.kill() },
		"shut down":           func(_ *site, p *process) { p.cancel() },
		"cut off from agents": func(s *site, p *process) { s.mu.Lock(); p.blind = true; s.mu.Unlock() },
		"frozen": func(s *site, p *process) {
			s.mu.Lock()
			p.frozenUntil = time.Now().Add(30 * time.Second)
			s.mu.Unlock()
		},
		"partitioned": func(s *site, p *process) { s.mu.Lock(); p.cutUntil = time.Now().Add(30 * time.Second); s.mu.Unlock() },
	}

	for name, fault := range cases {
		// The fault comes at various times relative to the end of a window, also between the fix and the send of a report.
		for _, after := range []time.Duration{
			0, 700 * time.Millisecond, 1210 * time.Millisecond, 1260 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second, 4900 * time.Millisecond,
		} {
			t.Run(fmt.Sprint(name, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(uint64(after))
					defer s.stop()

					first := time.Now()
					holding := s.start("a", true, true)

					time.Sleep(2 * time.Second)
					s.start("b", true, true)
					time.Sleep(time.Until(time.Now().Truncate(windowLength).Add(4*windowLength + after)))
					fault(s, holding)
					time.Sleep(40 * time.Second)

					for _, window := range windowsIn(first, time.Now().Add(-due)) {
						assert.Assert(t, s.reported(window) >= 1, "window %d of %d was not reported in time", window, first.UnixNano()/int64(windowLength))
					}

					assert.Equal(t, len(s.violations), 0, "%v", s.violations)
				})
			})
		}
	}
}

// faults are the faults of a run in addition to those of processes and calls.
type faults struct {
	clocks, restores bool
}

// Guards against each broken rule when holders are killed, shut down, replaced under the same name, frozen or partitioned, calls fail or arrive
// late, and the store is away or restored from an older copy; and against a duty without a holder afterwards.
func TestRulesHoldUnderFaults(t *testing.T) {
	runSeeds(t, faults{restores: true})
}

// Guards against broken rules when clocks of VMs are wrong by up to a minute, in addition to the faults above except restores.
func TestRulesHoldUnderClockErrors(t *testing.T) {
	runSeeds(t, faults{clocks: true})
}

// Guards against broken rules when clocks are wrong and the store is restored.
func TestRulesHoldUnderClockErrorsAndRestores(t *testing.T) {
	runSeeds(t, faults{clocks: true, restores: true})
}

func runSeeds(t *testing.T, with faults) {
	t.Helper()

	seeds := uint64(60)
	if n, err := strconv.ParseUint(os.Getenv("DUTY_SEEDS"), 10, 32); err == nil {
		seeds = n
	}

	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testFaults(t, seed, with) })
		})
	}
}

func testFaults(t *testing.T, seed uint64, with faults) {
	t.Helper()

	s := newSite(seed)
	defer s.stop()

	alive := map[string]*process{}

	for _, vm := range []string{"a", "b", "c"} {
		alive[vm] = s.start(vm, vm != "c", true)
	}

	time.Sleep(10 * time.Second)

	s.mu.Lock()
	s.faulty = true
	s.mu.Unlock()

	for end := time.Now().Add(3 * time.Minute); time.Now().Before(end); {
		time.Sleep(s.between(200*time.Millisecond, 4*time.Second))
		s.disturb(alive, with)
	}

	s.mu.Lock()
	s.faulty = false
	s.downUntil = time.Time{}

	for _, p := range s.processes {
		p.blind, p.ahead = false, 0
	}

	s.mu.Unlock()

	time.Sleep(20 * time.Second)

	if with.clocks {
		// Windows up to a minute ahead were given up, or reported early.
		time.Sleep(time.Minute)
	}

	calm := time.Now()
	time.Sleep(40 * time.Second)

	for _, window := range windowsIn(calm, time.Now().Add(-due)) {
		assert.Assert(t, s.reported(window) >= 1, "seed %d: window %d was not reported after the faults", seed, window)
	}

	assert.Equal(t, len(s.violations), 0, "seed %d: %v\n%s", seed, s.violations, strings.Join(s.events, "\n"))
}

// disturb makes one fault. Clock errors take the place of restores of the store, or of copies of it apart from those.
func (s *site) disturb(alive map[string]*process, with faults) {
	vm := []string{"a", "b", "c"}[s.pick(3)]
	p := alive[vm]

	fault := s.pick(9)
	if with.clocks && (fault == 6 || fault == 7 && !with.restores) {
		s.disturbClock(p)
		return
	}

	switch fault {
	case 0:
		p.kill()
		alive[vm] = s.start(vm, true, false)
	case 1:
		p.cancel()
		alive[vm] = s.start(vm, true, false)
	case 2, 3:
		until := time.Now().Add(s.between(100*time.Millisecond, 14*time.Second))
		s.mu.Lock()
		p.frozenUntil = until
		s.mu.Unlock()
	case 4:
		until := time.Now().Add(s.between(100*time.Millisecond, 14*time.Second))
		s.mu.Lock()
		p.cutUntil = until
		s.mu.Unlock()
	case 5:
		until := time.Now().Add(s.between(100*time.Millisecond, 12*time.Second))
		s.mu.Lock()
		s.downUntil = until
		s.mu.Unlock()
	case 8:
		s.mu.Lock()
		p.blind = !p.blind
		s.mu.Unlock()
	case 6:
		s.save()
	case 7:
		s.save()
		time.Sleep(s.between(time.Millisecond, 8*time.Second))
		s.restore()
	}
}

// disturbClock sets the clock of a VM wrong, or right again.
func (s *site) disturbClock(p *process) {
	ahead := s.between(-time.Minute, time.Minute)
	if s.pick(2) == 0 {
		ahead = 0
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	p.ahead = ahead
	s.note("clock of %+v is ahead by %v", p.self, ahead)
}

func (s *site) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.random.IntN(n)
}

// Guards against a window that is fixed without counts that only agents know which do not answer at first, against counts of agents that answered
// early and are lost, and against a report that is late, or a lease that is lost, since some agents never answer.
func TestWindowWaitsForTheCountsOfAgents(t *testing.T) {
	cases := map[string]struct {
		// answering is the time from the end of a window from which the second agent answers.
		answering time.Duration
		want      int64
	}{
		"at once":            {want: 7},
		"after a while":      {answering: 3 * time.Second, want: 7},
		"too late":           {answering: 9 * time.Second, want: 4},
		"never":              {answering: time.Hour, want: 4},
		"after one question": {answering: 1300 * time.Millisecond, want: 7},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(1)
				defer s.stop()

				first := time.Now()
				p := s.start("a", true, true)
				s.mu.Lock()
				p.answers = func(window int64) ([]usage.Tally, bool) {
					end := time.Unix(0, (window+1)*int64(windowLength))

					// Once the second agent answers, the first one does no more, except where both answer from the start.
					if time.Since(end) < c.answering {
						return []usage.Tally{{Process: "x", Counts: usage.Counts{"acme": 4}}}, false
					}

					known := []usage.Tally{{Process: "y", Counts: usage.Counts{"acme": 3}}}
					if c.answering == 0 {
						known = append(known, usage.Tally{Process: "x", Counts: usage.Counts{"acme": 4}})
					}

					return known, true
				}
				s.mu.Unlock()

				time.Sleep(time.Minute)

				for _, window := range windowsIn(first, time.Now().Add(-due)) {
					assert.Equal(t, s.reported(window), 1, "window %d", window)
				}

				for _, made := range s.calls {
					assert.Equal(t, made.report.Counts["acme"], c.want, "%+v", made)
					assert.Equal(t, made.fence, s.calls[0].fence)
				}

				assert.Equal(t, len(s.violations), 0, "%v", s.violations)
			})
		})
	}
}

// Guards against windows that are skipped after the clock of the holder was ahead for a while, and against second reports of windows that were
// reported meanwhile; also if another process takes over before or after the clock is corrected.
func TestWindowsAreReportedAfterAClockError(t *testing.T) {
	cases := map[string]struct {
		ahead, lasting time.Duration
		// takeover is the time after the error begins at which another process takes over; 0 for never.
		takeover time.Duration
	}{
		"a window":                          {ahead: 5 * time.Second, lasting: 8 * time.Second},
		"a minute":                          {ahead: time.Minute, lasting: 8 * time.Second},
		"an hour":                           {ahead: time.Hour, lasting: 40 * time.Second},
		"successor during the error":        {ahead: time.Minute, lasting: 12 * time.Second, takeover: 4 * time.Second},
		"successor after the correction":    {ahead: 10 * time.Minute, lasting: 8 * time.Second, takeover: 31 * time.Second},
		"successor just after a correction": {ahead: time.Minute, lasting: 8 * time.Second, takeover: 8200 * time.Millisecond},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(1)
				defer s.stop()

				holding := s.start("a", true, true)

				time.Sleep(20 * time.Second)
				s.start("b", true, true)
				time.Sleep(12 * time.Second)
				s.setAhead(c.ahead)

				if c.takeover > 0 {
					time.AfterFunc(c.takeover, holding.cancel)
				}

				time.Sleep(c.lasting)
				s.setAhead(0)

				corrected := time.Now()

				time.Sleep(3 * time.Minute)

				for _, window := range windowsIn(corrected, time.Now().Add(-due)) {
					assert.Assert(t, s.reported(window) >= 1, "window %d", window)
				}

				assert.Equal(t, len(s.violations), 0, "%v", s.violations)
			})
		})
	}
}

func (s *site) setAhead(ahead time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.ahead = ahead
	s.note("clocks are ahead by %v", ahead)
}

// Guards against two different reports for one window, of processes that do not know of each other's rows, since the store is restored from a copy
// of before the first one: if the first one's clock was ahead when it fixed the window, and if the second one's is behind when it skips windows.
func TestRestoreWithWrongClocks(t *testing.T) {
	cases := map[string]struct {
		// before and after are the errors of the clock that fixes windows before the restore, and of that of the successor.
		before, after time.Duration
	}{
		"right clocks":        {},
		"ahead before":        {before: 40 * time.Second},
		"a minute ahead":      {before: time.Minute},
		"behind after":        {after: -40 * time.Second},
		"a minute behind":     {after: -time.Minute},
		"ahead, then behind":  {before: time.Minute, after: -time.Minute},
		"behind, then behind": {before: -20 * time.Second, after: -time.Minute},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(1)
				defer s.stop()

				first := s.start("a", true, true)

				time.Sleep(20 * time.Second)
				s.save()
				first.setAhead(c.before)
				time.Sleep(25 * time.Second)
				first.kill()
				s.restore()

				second := s.start("b", true, false)
				second.setAhead(c.after)
				time.Sleep(20 * time.Second)
				second.setAhead(0)

				corrected := time.Now()

				time.Sleep(2 * time.Minute)

				for _, window := range windowsIn(corrected, time.Now().Add(-due)) {
					assert.Assert(t, s.reported(window) >= 1, "window %d", window)
				}

				assert.Equal(t, len(s.violations), 0, "%v\n%s", s.violations, strings.Join(s.events, "\n"))
			})
		})
	}
}

// setAhead sets the error of the clock of one VM.
func (p *process) setAhead(ahead time.Duration) {
	p.site.mu.Lock()
	defer p.site.mu.Unlock()

	p.ahead = ahead
	p.site.note("clock of %+v is ahead by %v", p.self, ahead)
}
