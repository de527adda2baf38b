package entry

import (
	"bytes"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// countingSink counts the bytes that a client gets.
type countingSink struct {
	recordingSink
	bytes int
}

func (*countingSink) Begin(message.Head) error { return nil }

func (s *countingSink) Write(data []byte) error {
	s.bytes += len(data)
	return nil
}

// Guards against an entry that is killed for its memory because one server sends bodies without end that are no streams of events: the
// entry kept all bytes up to a blank line.
func TestBodiesWithoutEndDoNotFillTheMemory(t *testing.T) {
	const (
		responses = 100
		// bodyBytes is the size of what each server has sent so far, and growth what the entry may hold of all of them.
		bodyBytes = 4 << 20
		growth    = 16 << 20
	)

	e := testEntry(nil)
	piece := bytes.Repeat([]byte{0xa5}, 16<<10)

	kept := make([]*response, 0, responses)

	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)

	for range responses {
		j := testJob(catalog.AtMostOnce)
		sink := &countingSink{}
		j.sink = sink
		r := &response{entry: e, job: j}
		kept = append(kept, r)

		assert.NilError(t, r.handle(message.ResponseStarted{Head: message.Head{Status: 200}}))

		for range bodyBytes / len(piece) {
			assert.NilError(t, r.handle(message.Data{Bytes: piece}))
		}

		assert.Equal(t, sink.bytes, bodyBytes)
	}

	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.HeapAlloc < before.HeapAlloc+growth, "%d MB", (after.HeapAlloc-before.HeapAlloc)>>20)
	runtime.KeepAlive(kept)
}
