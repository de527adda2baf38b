package connlimit

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcwire"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
)

// frame returns a drpc frame.
func frame(message uint64, size int, done bool) string {
	return string(drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: make([]byte, size), ID: drpcwire.ID{Stream: 1, Message: message}, Kind: drpcwire.KindMessage, Done: done,
	}))
}

// largeMessage returns a message in frames of 64 KB.
func largeMessage(frames int) string {
	return strings.Repeat(frame(1, 64<<10, false), frames-1) + frame(1, 64<<10, true)
}

// Guards against frames and messages that take more than their limit or the budget, and against usual ones that are refused.
func TestFrames(t *testing.T) {
	cases := map[string]struct {
		data    string
		budget  int64
		want    Reason
		pending bool
	}{
		"half a frame":              {frame(1, 10, true)[:3], 1, "", true},
		"whole message":             {frame(1, 10, true), 1, "", false},
		"empty message":             {frame(1, 0, true), 1, "", false},
		"message of the free size":  {frame(1, freeMessageBytes*messageDenominator/messageNumerator, true), 1, "", false},
		"message, no budget":        {largeMessage(2), 1, NoMemory, true},
		"message in budget":         {largeMessage(80), 20 << 20, "", false},
		"message without end":       {strings.Repeat(frame(1, 4096, false), 1000), 1 << 20, NoMemory, true},
		"frame of 1 GB":             {"\x02\x01\x01\x80\x80\x80\x80\x04aaa", 1 << 20, TooLarge, true},
		"size without end":          {"\x02\x01\x01" + strings.Repeat("\x80", 20), 1 << 20, TooLarge, true},
		"small messages, no budget": {strings.Repeat(frame(1, 100, true), 10000), 1, "", false},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 7, 4096, 1 << 20} {
				budget := &memory.Budget{Limit: c.budget}
				limit := NewFrame(budget)

				assert.Equal(t, takeAll(limit, c.data, size), c.want, "reads of %d bytes", size)
				assert.Equal(t, limit.isPending(), c.pending, "reads of %d bytes", size)
				limit.release()
				assert.Equal(t, budget.Used(), int64(0))
			}
		})
	}
}

// Guards against a large message whose buffer is kept by the reader of drpc but not accounted for, and against one that is accounted for
// forever.
func TestBufferOfALargeMessage(t *testing.T) {
	budget := &memory.Budget{Limit: 20 << 20}
	limit := NewFrame(budget)

	assert.Equal(t, takeAll(limit, largeMessage(80), 4096), Reason(""))

	held := budget.Used()
	assert.Assert(t, held > 5<<20)
	assert.Equal(t, takeAll(limit, strings.Repeat(frame(2, 100, true), keptMessages), 4096), Reason(""))
	assert.Equal(t, budget.Used(), held)
	assert.Equal(t, takeAll(limit, frame(3, 100, true), 4096), Reason(""))
	assert.Equal(t, budget.Used(), int64(0))
}

// Guards against a refusal that is sent before the message is complete, which the peer would take for a connection that ended, and against a
// message without end that is read forever.
func TestRefusedMessageIsReadToItsEnd(t *testing.T) {
	const frames = 20

	data := largeMessage(frames)

	for _, size := range []int{1, 4096, 1 << 20} {
		limit := NewFrame(&memory.Budget{Limit: 1})
		taken := 0

		for reason := Reason(""); reason == ""; taken = min(taken+size, len(data)) {
			reason = limit.take([]byte(data[taken:min(taken+size, len(data))]))
		}

		for ; taken < len(data); taken = min(taken+size, len(data)) {
			assert.Assert(t, limit.drop(nil), "after %d of %d bytes, %d at once", taken, len(data), size)
			limit.drop([]byte(data[taken:min(taken+size, len(data))]))
		}

		assert.Assert(t, !limit.drop(nil), "after the message")

		_, refusal, ok, err := drpcwire.ParseFrame(limit.refusal(NoMemory))
		assert.Assert(t, ok && err == nil)
		assert.Equal(t, refusal.ID.Stream, uint64(1))
		assert.Equal(t, drpcerr.Code(drpcwire.UnmarshalError(refusal.Data)), uint64(CodeNotRun))
	}

	endless := NewFrame(&memory.Budget{Limit: 1})
	assert.Equal(t, takeAll(endless, strings.Repeat(frame(1, 4096, false), 100), 4096), NoMemory)

	for dropped := 0; endless.drop([]byte(frame(1, 4096, false))); dropped += 4096 {
		assert.Assert(t, dropped <= maxDroppedBytes)
	}
}

// Guards against large messages that arrive at the same time and are all refused, because together they take the memory before one of them is
// complete. A refused message keeps its memory until its connection is closed.
func TestOneOfManyLargeMessagesIsAccepted(t *testing.T) {
	const (
		messages = 16
		frames   = 64
		limit    = 32 << 20
	)

	cases := map[string]struct{ stalled int }{
		"all go on":                  {},
		"the last ones send no more": {stalled: messages / 2},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			budget := &memory.Budget{Limit: limit, Headroom: MessageMemory(frames * 64 << 10)}
			limits := make([]*Frame, messages)
			refused := make([]bool, messages)
			accepted := 0

			for i := range limits {
				limits[i] = NewFrame(budget)
			}

			for step := range frames {
				for i, limited := range limits {
					if refused[i] || i >= messages-c.stalled && step > frames/4 {
						continue
					}

					refused[i] = takeAll(limited, frame(1, 64<<10, step == frames-1), 4096) != ""

					if step == frames-1 && !refused[i] {
						accepted++
					}
				}

				assert.Assert(t, budget.Used() <= limit)
			}

			assert.Check(t, accepted > 0)

			for _, limited := range limits {
				limited.release()
			}

			assert.Equal(t, budget.Used(), int64(0))
		})
	}
}

// Guards against a refused message that takes memory while its rest is dropped: of the headroom, so that a message which could be accepted is refused,
// and forever, if its connection is closed meanwhile.
func TestDroppedRestTakesNoMemory(t *testing.T) {
	const part = 64 << 10

	cases := map[string]struct {
		headroom int64
		closed   bool
	}{
		"no headroom":                    {},
		"no headroom, connection closed": {closed: true},
		"headroom":                       {headroom: 8 * part},
		"headroom, connection closed":    {headroom: 8 * part, closed: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			budget := &memory.Budget{Limit: 16 * part, Headroom: c.headroom}
			other, refused, next := NewFrame(budget), NewFrame(budget), NewFrame(budget)

			assert.Equal(t, takeAll(other, strings.Repeat(frame(1, part, false), 12), 4096), Reason(""))
			assert.Equal(t, takeAll(refused, strings.Repeat(frame(1, part, false), 8), 4096), NoMemory)
			assert.Equal(t, takeAll(other, frame(1, 0, true), 4096), Reason(""))
			other.release()

			if c.closed {
				refused.release()
			}

			held := budget.Used()

			refused.drop([]byte(frame(1, part, false)))
			assert.Equal(t, budget.Used(), held)
			assert.Equal(t, takeAll(next, strings.Repeat(frame(1, part, false), 9), 4096), Reason(""))

			next.release()
			refused.release()
			assert.Equal(t, budget.Used(), int64(0))
		})
	}
}
