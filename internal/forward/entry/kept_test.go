package entry

import (
	"bytes"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// Guards against an entry that is killed for its memory because many streams are inside an event without end, each of which is within the
// bound of one event.
func TestIncompleteEventsOfAllResponsesAreBounded(t *testing.T) {
	const (
		responses = 200
		// eventBytes is how much of an event each server has sent so far.
		eventBytes = 900 << 10
		budget     = 8 << 20
		growth     = budget + responses*(freeEventBytes+readBytes)
	)

	e := testEntry(nil)
	e.ResponseMemory = &memory.Budget{Limit: budget}
	piece := bytes.Repeat([]byte("data: a\n"), readBytes/8)
	head := message.Head{Status: 200, Headers: []message.Header{{Name: "Content-Type", Value: "text/event-stream"}}}

	kept := make([]*response, 0, responses)
	rejected := 0

	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)

	for range responses {
		j := testJob(catalog.AtMostOnce)
		j.sink = &countingSink{}
		r := newResponse(e, j, fleet.Server{ID: "i"})
		kept = append(kept, r)

		assert.NilError(t, r.handle(message.ResponseStarted{Head: head}))

		for range eventBytes / len(piece) {
			if r.handle(message.Data{Bytes: piece}) != nil {
				rejected++
				break
			}
		}
	}

	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.HeapAlloc < before.HeapAlloc+growth, "%d MB", (after.HeapAlloc-before.HeapAlloc)>>20)
	assert.Assert(t, rejected > 0 && rejected < responses, "%d were rejected", rejected)

	for _, each := range kept {
		each.kept.Release()
	}

	assert.Equal(t, e.ResponseMemory.Used(), int64(0))
}

// readBytes is the size of the pieces in which a body is read.
const readBytes = 16 << 10
