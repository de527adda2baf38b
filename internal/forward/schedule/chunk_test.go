package schedule_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

const (
	// chunkStep is the time of a step that prefills nothing, chunkTokensPerMS the number of prompt tokens prefilled in a millisecond, and chunkUsual
	// the slowness of a server that is as fast as usual.
	chunkStep        = 12 * time.Millisecond
	chunkTokensPerMS = 19
	chunkUsual       = 100
)

// chunkServer simulates a model server in steps: each prefills at most one chunk of a prompt and then makes one token of each stream.
type chunkServer struct {
	chunk int64
	// stepsPerEvent is the number of tokens in an event.
	stepsPerEvent int
	// slowness is in percent at a time since the start; nil for a server that is always as fast as usual.
	slowness func(since time.Duration) int
	// delay is how long a prompt waits at the server before its prefill begins.
	delay time.Duration

	// now is the time of the server, and seen that of the last event at the agent.
	now, seen time.Time
	scheduler *schedule.Scheduler
	// rng draws the delays after which the agent sees the events of a step; nil if it sees them at once.
	rng *rand.Rand
	// streams are the streams that run. Tokens are made in steps, which are counted; the stream at index i has an event in each step for which
	// steps + i is a multiple of stepsPerEvent.
	streams []*schedule.Request
	steps   int
}

func (c *chunkServer) percent() int {
	if c.slowness == nil {
		return chunkUsual
	}

	return c.slowness(c.now.Sub(start))
}

// step runs one step with a part of a prompt. The event of a stream comes at the end of the step; the stream at index 0 has events in the same
// steps as that at index stepsPerEvent.
func (c *chunkServer) step(tokens int64) {
	took := chunkStep + time.Duration(tokens)*time.Millisecond/chunkTokensPerMS
	c.now = c.now.Add(took * time.Duration(c.percent()) / chunkUsual)
	c.steps++

	c.seen = c.now

	for i, stream := range c.streams {
		if (c.steps+i)%c.stepsPerEvent == 0 {
			c.seen = c.seen.Add(c.lag())
			c.scheduler.ObserveEvent(c.seen, stream)
		}
	}
}

// lag draws the time from one event of a step to the next that the agent sees: usually under a millisecond, and sometimes 20 ms on a busy VM.
func (c *chunkServer) lag() time.Duration {
	switch {
	case c.rng == nil:
		return 0
	case c.rng.IntN(100) == 0:
		return 20 * time.Millisecond
	default:
		return time.Duration(c.rng.IntN(1000)) * time.Microsecond
	}
}

// idle runs steps without a prefill.
func (c *chunkServer) idle(steps int) {
	for range steps {
		c.step(0)
	}
}

// prompt starts a prompt in the middle of a step, however many streams it delays, and runs it to its first event.
func (c *chunkServer) prompt(t *testing.T, tokens int64) {
	t.Helper()

	at := c.now.Add(chunkStep / 2)
	prompt := request("a1", at)
	prompt.InputTokens, prompt.Due, prompt.Expires = tokens, at.Add(time.Minute), at.Add(time.Millisecond)
	c.scheduler.Add(prompt)
	assert.Equal(t, len(started(c.scheduler.Dispatch(at))), 1)

	c.step(0)

	for began := c.now; c.now.Sub(began) < c.delay; {
		c.step(0)
	}

	for left := tokens; left > 0; {
		part := min(left, c.chunk)
		left -= part
		c.step(part)
	}

	c.seen = c.seen.Add(c.lag())
	c.scheduler.ObserveSlowness(c.seen, c.percent())
	c.scheduler.ObserveEvent(c.seen, prompt)
	c.scheduler.Remove(prompt)
}

// addLargePrompt starts a stream that is on time and has just had an event, and adds a prompt that is too large for any expected rate of prefill.
func (c *chunkServer) addLargePrompt(t *testing.T, due time.Duration) (stream, prompt *schedule.Request) {
	t.Helper()

	stream = request("a1", c.now)
	stream.InputTokens, stream.GapTarget, stream.Due, stream.Expires = 10, 300*time.Millisecond, c.now.Add(time.Second), c.now.Add(time.Millisecond)
	c.scheduler.Add(stream)
	assert.Equal(t, len(started(c.scheduler.Dispatch(c.now))), 1)
	c.scheduler.ObserveEvent(c.now, stream)

	prompt = request("a1", c.now)
	prompt.InputTokens, prompt.Due, prompt.Expires = 40_000, c.now.Add(due), c.now.Add(time.Minute)
	c.scheduler.Add(prompt)

	return stream, prompt
}

// startsAtOnce reports whether a large prompt is started although a stream would be late if the server made no events during the prefill.
func (c *chunkServer) startsAtOnce(t *testing.T) bool {
	t.Helper()

	stream, prompt := c.addLargePrompt(t, time.Minute)
	actions := started(c.scheduler.Dispatch(c.now))
	c.scheduler.Remove(stream)
	c.scheduler.Remove(prompt)

	return len(actions) == 1
}

// startsInTime reports whether such a prompt is started when it would be late otherwise. Streams that are on time have events as usual until then.
func (c *chunkServer) startsInTime(t *testing.T) bool {
	t.Helper()

	stream, prompt := c.addLargePrompt(t, 5*time.Second)

	actions := 0
	for actions == 0 && c.now.Before(prompt.Due) {
		c.idle(1)
		c.scheduler.ObserveEvent(c.now, stream)

		actions = len(started(c.scheduler.Dispatch(c.now)))
	}

	c.scheduler.Remove(stream)
	c.scheduler.Remove(prompt)

	return actions == 1
}

func newChunkServer(c chunkServer, streams int) *chunkServer {
	c.now = start
	if c.stepsPerEvent == 0 {
		c.stepsPerEvent = 4
	}

	// The streams are less urgent than the prompts, which start at the end whatever the number of streams.
	c.scheduler, c.streams = streaming(start, slices.Repeat([]int{1}, streams)...)

	return &c
}

// slowMoments returns the slowness of a server that is slow for half a second in each period.
func slowMoments(period time.Duration) func(since time.Duration) int {
	return func(since time.Duration) int {
		if since%period < 500*time.Millisecond {
			return 250
		}

		return chunkUsual
	}
}

// Guards against large prompts that wait, and are late, for long at a server that makes events in time while it prefills.
func TestServerWithSmallChunksIsRecognizedSoon(t *testing.T) {
	cases := map[string]struct {
		server  chunkServer
		streams int
		prompts []int64
	}{
		"one large prompt":               {server: chunkServer{chunk: 1024}, streams: 8, prompts: []int64{9600}},
		"one large prompt, two streams":  {server: chunkServer{chunk: 1024}, streams: 2, prompts: []int64{9600}},
		"two large prompts, one stream":  {server: chunkServer{chunk: 1024}, streams: 1, prompts: []int64{9600, 9600}},
		"two prompts of five chunks":     {server: chunkServer{chunk: 1024}, streams: 4, prompts: []int64{5000, 5000}},
		"two prompts, small chunks":      {server: chunkServer{chunk: 256}, streams: 4, prompts: []int64{3000, 3000}},
		"three steps for each event":     {server: chunkServer{chunk: 1024, stepsPerEvent: 3}, streams: 4, prompts: []int64{6000}},
		"after many small prompts":       {server: chunkServer{chunk: 1024}, streams: 4, prompts: []int64{400, 400, 900, 400, 400, 900, 6000}},
		"after a moment of slowness":     {server: chunkServer{chunk: 1024, slowness: slowMoments(10 * time.Second)}, streams: 4, prompts: []int64{9600, 9600}},
		"two prompts, slow for good":     {server: chunkServer{chunk: 768, slowness: func(time.Duration) int { return 130 }}, streams: 4, prompts: []int64{9600, 9600}},
		"two prompts, always twice slow": {server: chunkServer{chunk: 256, slowness: func(time.Duration) int { return 200 }}, streams: 4, prompts: []int64{4000, 4000}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := newChunkServer(c.server, c.streams)
			server.idle(20)
			assert.Assert(t, !server.startsAtOnce(t), "nothing is known yet")

			for _, tokens := range c.prompts {
				server.prompt(t, tokens)
				server.idle(60)
			}

			assert.Assert(t, server.startsAtOnce(t))
		})
	}
}

// Guards against a large prompt that is late although an earlier one gave some evidence that the server makes events in time: it starts when it
// would be late otherwise, but no sooner, and not without any evidence.
func TestLittleEvidenceCountsWhenAPromptWouldBeLate(t *testing.T) {
	cases := map[string]struct {
		tokens int64
		want   bool
	}{
		"small":  {tokens: 700},
		"medium": {tokens: 5200, want: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := newChunkServer(chunkServer{chunk: 1024}, 1)
			server.idle(40)
			server.prompt(t, c.tokens)
			server.idle(40)
			assert.Assert(t, !server.startsAtOnce(t))
			assert.Equal(t, server.startsInTime(t), c.want)
		})
	}
}

// Guards against prompts that make all streams late at a server which makes events too seldom while it prefills.
func TestStallingServerIsNotTakenForOneWithSmallChunks(t *testing.T) {
	sizes := map[string][]int64{
		"many small":   {400, 300, 500, 700, 250},
		"medium":       {1500, 2500, 2100, 4000, 1900},
		"large":        {9600, 4200, 6300, 8192, 12_000},
		"all":          {400, 9600, 2100, 300, 4200, 1500, 6200},
		"small, large": {300, 300, 300, 300, 300, 8000},
	}
	servers := map[string]chunkServer{
		"chunks of 2048":                   {chunk: 2048},
		"chunks of 4096":                   {chunk: 4096},
		"whole prompts":                    {chunk: 1 << 20},
		"2048, three steps for each event": {chunk: 2048, stepsPerEvent: 3},
		"4096, three steps for each event": {chunk: 4096, stepsPerEvent: 3},
		"2048, moments":                    {chunk: 2048, slowness: slowMoments(3300 * time.Millisecond)},
		"2048, frequent moments":           {chunk: 2048, slowness: slowMoments(1100 * time.Millisecond)},
		"4096, moments":                    {chunk: 4096, slowness: slowMoments(3300 * time.Millisecond)},
		"whole prompts, moments":           {chunk: 1 << 20, slowness: slowMoments(1700 * time.Millisecond)},
		"whole prompts, twice as slow":     {chunk: 1 << 20, slowness: func(time.Duration) int { return 200 }},
		"prompts wait at the server":       {chunk: 1 << 20, delay: 300 * time.Millisecond},
		"2048, prompts wait at the server": {chunk: 2048, delay: 120 * time.Millisecond},
	}

	for name, template := range servers {
		for size, tokens := range sizes {
			for _, pause := range []int{0, 1, 7, 40} {
				t.Run(name+", "+size, func(t *testing.T) {
					server := newChunkServer(template, 7)

					for i := range 60 {
						server.prompt(t, tokens[i%len(tokens)])
						server.idle(pause)
						assert.Assert(t, !server.startsAtOnce(t), "after prompt %d, pause of %d steps", i, pause)
					}

					server.slowness = nil
					server.idle(60)
					assert.Assert(t, !server.startsInTime(t), "pause of %d steps", pause)
				})
			}
		}
	}
}

// Guards against a server that is taken for one with small chunks in some run of sizes, moments of slowness and events that the agent sees late,
// and against one with small chunks that is not recognized with them.
func TestChunksWithRandomSizes(t *testing.T) {
	const (
		seeds   = 40
		prompts = 150
	)

	cases := map[string]struct {
		chunk int64
		// least and most are the bounds of the share of the checks, one after each prompt, in which a large prompt starts at once.
		least, most float64
	}{
		"chunks of 512":  {chunk: 512, least: 0.8, most: 1},
		"chunks of 2048": {chunk: 2048},
		"chunks of 4096": {chunk: 4096},
		"whole prompts":  {chunk: 1 << 20},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			started := 0

			for seed := range uint64(seeds) {
				rng := rand.New(rand.NewPCG(seed, 1))
				period := time.Second + time.Duration(rng.IntN(4000))*time.Millisecond
				server := newChunkServer(chunkServer{chunk: c.chunk, stepsPerEvent: 3 + rng.IntN(2), slowness: slowMoments(period), rng: rng}, 1+rng.IntN(16))

				for range prompts {
					server.prompt(t, min(int64(200+1500*rng.ExpFloat64()), 12_000))
					server.idle(rng.IntN(30))

					if server.startsAtOnce(t) {
						started++
					}
				}
			}

			share := float64(started) / seeds / prompts
			assert.Assert(t, share >= c.least && share <= c.most, "%.3f", share)
		})
	}
}

// Guards against a wrong conclusion that outlasts the first prompt which shows that it is wrong: the server prefills larger chunks since then.
func TestConclusionEndsWithTheFirstContradiction(t *testing.T) {
	server := newChunkServer(chunkServer{chunk: 1024}, 4)

	for range 10 {
		server.prompt(t, 9600)
		server.idle(60)
	}

	assert.Assert(t, server.startsAtOnce(t))

	server.chunk = 1 << 20
	server.prompt(t, 9600)
	server.idle(8)
	assert.Assert(t, !server.startsAtOnce(t))
}

// Guards against a conclusion that is lost while a server is idle or prefills only small prompts.
func TestConclusionLasts(t *testing.T) {
	server := newChunkServer(chunkServer{chunk: 1024, slowness: func(since time.Duration) int {
		return map[bool]int{false: chunkUsual, true: 250}[since > 5*time.Second && since < 5500*time.Millisecond]
	}}, 4)

	server.prompt(t, 9600)
	server.prompt(t, 9600)

	for range 100 {
		server.prompt(t, 400)
		server.idle(20)
	}

	server.now = server.now.Add(time.Hour)
	server.idle(20)
	assert.Assert(t, server.startsAtOnce(t))
}
