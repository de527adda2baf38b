package schedule_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// Guards against a prompt whose prefill makes the pause between two events of a running stream too long, and against one that waits although
// no stream would be late for it.
func TestPromptsWaitForStreams(t *testing.T) {
	const (
		gapTarget = 300 * time.Millisecond
		// largePrompt takes about 0.2 s at the default pace, or 0.5 s at 250 percent.
		largePrompt = 4000
	)

	cases := map[string]struct {
		// lastEvent is the time from the last event of the running stream to the arrival of the prompt.
		lastEvent time.Duration
		tokens    int64
		slowness  int
		gapTarget time.Duration
		// late is true if the running stream is late already.
		late bool
		// expires is how long the prompt may wait.
		expires time.Duration
		want    int
	}{
		"after an event":               {tokens: largePrompt, gapTarget: gapTarget, expires: time.Minute, want: 1},
		"before the next event":        {lastEvent: 100 * time.Millisecond, tokens: largePrompt, gapTarget: gapTarget, expires: time.Minute},
		"small, before the next event": {lastEvent: 100 * time.Millisecond, tokens: 400, gapTarget: gapTarget, expires: time.Minute, want: 1},
		"slow server":                  {tokens: largePrompt, slowness: 250, gapTarget: gapTarget, expires: time.Minute},
		"no target":                    {lastEvent: 100 * time.Millisecond, tokens: largePrompt, expires: time.Minute, want: 1},
		"stream is late already":       {tokens: largePrompt, slowness: 250, gapTarget: gapTarget, late: true, expires: time.Minute, want: 1},
		"expires soon":                 {tokens: largePrompt, slowness: 250, gapTarget: gapTarget, expires: 150 * time.Millisecond, want: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := ready(adapterVersion("a1", 1))

			running := request("a1", start)
			running.GapTarget, running.Due = c.gapTarget, start.Add(time.Second)

			if c.late {
				running.Due = start
			}

			s.Add(running)
			assert.Equal(t, len(started(s.Dispatch(start))), 1)

			now := start.Add(50 * time.Millisecond)
			s.ObserveEvent(now, running)

			now = now.Add(c.lastEvent)
			s.ObserveSlowness(now, c.slowness)

			arrived := request("a1", now)
			arrived.InputTokens, arrived.Due, arrived.Expires = c.tokens, now.Add(c.expires), now.Add(c.expires)
			s.Add(arrived)

			actions := started(s.Dispatch(now))
			assert.Equal(t, len(actions), c.want)

			_, held := s.HeldUntil()
			assert.Equal(t, held, c.want == 0)
		})
	}
}

// Guards against a prompt that waits for good: it starts with the next event of the stream that it would have held up.
func TestPromptStartsAfterTheNextEvent(t *testing.T) {
	s := ready(adapterVersion("a1", 1))

	running := request("a1", start)
	running.GapTarget, running.Due = 300*time.Millisecond, start.Add(time.Second)
	s.Add(running)
	s.Dispatch(start)

	now := start.Add(50 * time.Millisecond)
	s.ObserveEvent(now, running)

	now = now.Add(100 * time.Millisecond)
	arrived := request("a1", now)
	arrived.InputTokens, arrived.Due, arrived.Expires = 4000, now.Add(time.Minute), now.Add(time.Minute)
	s.Add(arrived)
	assert.Equal(t, len(started(s.Dispatch(now))), 0)

	until, held := s.HeldUntil()
	assert.Assert(t, held && until.Sub(now) < 100*time.Millisecond)

	s.ObserveEvent(now, running)
	assert.Assert(t, s.Recheck(now))
	assert.Assert(t, !s.Recheck(now), "events of the same step")

	until, held = s.HeldUntil()
	assert.Assert(t, held && until.Sub(now) < 10*time.Millisecond)
	assert.Equal(t, len(started(s.Dispatch(until))), 1)
}

// streaming returns a scheduler whose server runs streams of the given urgencies, which have just had an event.
func streaming(now time.Time, urgencies ...int) (*schedule.Scheduler, []*schedule.Request) {
	s := ready(adapterVersion("a1", 1))
	limits := limits()
	limits.Slots, limits.StartsPerSecond, limits.KVCapacity = 64, 0, 1<<20
	s.Configure(limits)

	streams := make([]*schedule.Request, 0, len(urgencies))

	for _, urgency := range urgencies {
		running := request("a1", now)
		running.Urgency, running.GapTarget, running.Due = urgency, 300*time.Millisecond, now.Add(time.Second)
		s.Add(running)
		s.Dispatch(now)
		s.ObserveEvent(now, running)

		streams = append(streams, running)
	}

	return s, streams
}

// Guards against a prompt that makes streams late which are worth more than it, against one that is late although it could have gone before
// less urgent streams, and against large prompts that never start. The prompt takes about 0.5 s, which no stream allows.
func TestPromptThatNeverFits(t *testing.T) {
	const (
		early    = 100 * time.Millisecond
		lastCall = 505 * time.Millisecond
		late     = time.Second
		expiring = 4 * time.Second
	)

	cases := map[string]struct {
		urgency int
		// streams are the urgencies of the running streams.
		streams []int
		// at is the time from the arrival of the prompt, whose first event is due after 1 s and which expires after 4 s.
		at   time.Duration
		want int
	}{
		"no streams":                          {at: early, want: 1},
		"can wait":                            {streams: []int{2}, at: early},
		"last call, a less urgent stream":     {streams: []int{1}, at: lastCall, want: 1},
		"last call, a stream like it":         {streams: []int{0}, at: lastCall},
		"last call, a more urgent stream":     {urgency: 1, streams: []int{0}, at: lastCall},
		"last call, many less urgent streams": {streams: []int{1, 1, 1}, at: lastCall},
		"late, a less urgent stream":          {streams: []int{1}, at: late},
		"expires, two streams":                {streams: []int{0, 0}, at: expiring, want: 1},
		"expires, three streams":              {streams: []int{0, 0, 0}, at: expiring, want: 1},
		"expires, less urgent streams":        {streams: []int{1, 1, 1, 1}, at: expiring, want: 1},
		"expires, as many streams as it may":  {streams: slices.Repeat([]int{0}, 8), at: expiring, want: 1},
		"expires, more streams":               {streams: slices.Repeat([]int{0}, 9), at: expiring},
		"expires, many less urgent streams":   {streams: slices.Repeat([]int{2}, 30), at: expiring, want: 1},
		"expires, many more urgent streams":   {urgency: 2, streams: slices.Repeat([]int{0}, 3), at: expiring},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := start.Add(c.at)
			s, _ := streaming(now, c.streams...)

			prompt := request("a1", start)
			prompt.Urgency, prompt.InputTokens, prompt.Due, prompt.Expires = c.urgency, 9600, start.Add(time.Second), start.Add(expiring)
			s.Add(prompt)

			assert.Equal(t, len(started(s.Dispatch(now))), c.want)
			assert.Equal(t, prompt.Held(), c.want == 0)
		})
	}
}

// Guards against large prompts that are refused for good because they hold up streams: once too few of their size were served, they start.
func TestStarvedPromptStartsBeforeItExpires(t *testing.T) {
	cases := map[string]int{"few streams": 4, "more streams than a late prompt may delay": 12}

	for name, count := range cases {
		t.Run(name, func(t *testing.T) { testStarvedPromptStarts(t, count) })
	}
}

func testStarvedPromptStarts(t *testing.T, count int) {
	t.Helper()

	const rounds = 300

	s, streams := streaming(start, make([]int, count)...)
	now, served, large := start, 0, 0

	for range rounds {
		now = now.Add(100 * time.Millisecond)

		for _, stream := range streams {
			s.ObserveEvent(now, stream)
		}

		for _, tokens := range []int64{100, 100, 100, 9600} {
			added := request("a1", now)
			added.InputTokens, added.Due, added.Expires = tokens, now.Add(-time.Second), now.Add(90*time.Millisecond)
			s.Add(added)
		}

		for _, passed := range []time.Duration{0, 30 * time.Millisecond, 60 * time.Millisecond, 89 * time.Millisecond} {
			for _, begun := range started(s.Dispatch(now.Add(passed))) {
				served++

				if begun.InputTokens > 1000 {
					large++
				}

				s.ObserveEvent(now.Add(passed), begun)
				s.Remove(begun)
			}
		}

		s.Dispatch(now.Add(91 * time.Millisecond))
	}

	assert.Assert(t, float64(large)/rounds >= float64(served)/(4*rounds)/2, "%d of %d large ones, %d of all", large, rounds, served)
}

// Guards against less urgent prompts that one after the other take the time in which a more urgent one would fit.
func TestLessUrgentPromptWaitsForTheHeldOne(t *testing.T) {
	s, streams := streaming(start, 0)
	now := start.Add(100 * time.Millisecond)

	urgent, less := request("a1", now), request("a1", now)
	urgent.InputTokens, urgent.Due, urgent.Expires = 4000, now.Add(time.Second), now.Add(3*time.Second)
	less.Urgency, less.Due, less.Expires = 1, now.Add(2*time.Second), now.Add(4*time.Second)
	s.Add(urgent)
	s.Add(less)
	assert.Equal(t, len(started(s.Dispatch(now))), 0)
	assert.Assert(t, urgent.Held() && less.Held())

	s.ObserveEvent(now, streams[0])
	assert.Assert(t, started(s.Dispatch(now))[0] == urgent)
}

// Guards against prompts that wait although the server makes events in time while it prefills them in small chunks.
func TestPromptStartsWhereEventsComeDuringPrefill(t *testing.T) {
	s, streams := streaming(start, 0, 0)
	now := start

	large := func() *schedule.Request {
		prompt := request("a1", now)
		prompt.InputTokens, prompt.Due, prompt.Expires = 9600, now.Add(time.Minute), now.Add(time.Minute)
		s.Add(prompt)

		return prompt
	}

	held := large()
	assert.Equal(t, len(started(s.Dispatch(now))), 0)
	s.Remove(held)

	// The prompt is shorter than the pause that it would cause at a server without events meanwhile, but longer than one chunk.
	medium := request("a1", now)
	medium.InputTokens, medium.Due = 4000, now.Add(time.Minute)
	s.Add(medium)
	assert.Equal(t, len(started(s.Dispatch(now))), 1)

	for range 2 {
		now = now.Add(70 * time.Millisecond)

		for _, stream := range streams {
			s.ObserveEvent(now, stream)
		}
	}

	now = now.Add(90 * time.Millisecond)
	s.ObserveEvent(now, medium)

	for _, stream := range streams {
		s.ObserveEvent(now, stream)
	}

	large()
	assert.Equal(t, len(started(s.Dispatch(now))), 1)
}
