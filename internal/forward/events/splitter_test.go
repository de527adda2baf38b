package events_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/events"
)

// Guards against streams in which an event is missing, repeated or joined from two runs.
func TestPush(t *testing.T) {
	cases := map[string]struct {
		last      int64
		parts     []string
		want      string
		remainder string
	}{
		"complete events":         {last: -1, parts: []string{"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"}, want: "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"},
		"event in parts":          {last: -1, parts: []string{"id: 0\nda", "ta: a\n", "\n"}, want: "id: 0\ndata: a\n\n"},
		"part of an event":        {last: -1, parts: []string{"id: 0\ndata: a\n\nid: 1\nda"}, want: "id: 0\ndata: a\n\n", remainder: "id: 1\nda"},
		"events before the last":  {last: 1, parts: []string{"id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n"}, want: "id: 2\ndata: c\n\n"},
		"line before the id":      {last: -1, parts: []string{"weight-versions: 3\nid: 0\ndata: a\n\n"}, want: "weight-versions: 3\nid: 0\ndata: a\n\n"},
		"event without an id":     {last: 4, parts: []string{"data: a\n\n"}, want: "data: a\n\n"},
		"carriage returns":        {last: 0, parts: []string{"id: 0\r\ndata: a\r\n\r\nid: 1\r\ndata: b\r\n\r\n"}, want: "id: 1\r\ndata: b\r\n\r\n"},
		"line ends in turn":       {last: -1, parts: []string{"id: 0\r\ndata: a\n\r\nid: 1\ndata: b\r\n\nid: 2\n"}, want: "id: 0\r\ndata: a\n\r\nid: 1\ndata: b\r\n\n", remainder: "id: 2\n"},
		"line end in parts":       {last: -1, parts: []string{"id: 0\r\ndata: a\n\r", "\n"}, want: "id: 0\r\ndata: a\n\r\n"},
		"id that is not a number": {last: 4, parts: []string{"id: x\ndata: a\n\n"}, want: "id: x\ndata: a\n\n"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			splitter := events.Splitter{LastID: c.last}
			got := ""

			for _, part := range c.parts {
				got += string(splitter.Push([]byte(part)))
			}

			assert.Equal(t, got, c.want)
			assert.Equal(t, string(splitter.Remainder()), c.remainder)
		})
	}
}

// Guards against bytes of an incomplete event that are joined to the stream of the next server.
func TestResetDiscardsTheIncompleteEvent(t *testing.T) {
	splitter := events.Splitter{LastID: -1}
	splitter.Push([]byte("id: 0\ndata: a\n\nid: 1\ndata: half"))
	splitter.Resume()

	got := string(splitter.Push([]byte("id: 1\ndata: b\n\n")))
	assert.Equal(t, got, "id: 1\ndata: b\n\n")
}

// Guards against bytes that count as whole events where a server is read and complete none here, so that they are kept without end.
func TestSplitterKeepsNoMoreThanOneEvent(t *testing.T) {
	const total = 8 << 20

	cases := map[string]string{
		"two returns in a line end": "\r\r\n",
		"many returns":              "data: a\r\n" + strings.Repeat("\r", 100) + "\n",
		"returns between lines":     "\r\n\r\r\n",
		"line ends":                 "\n",
		"carriage returns":          "\r",
		"no line end":               "x",
		"lines":                     "data: a\n",
		"whole events":              "data: a\n\n",
	}

	for name, piece := range cases {
		t.Run(name, func(t *testing.T) {
			var (
				splitter events.Splitter
				progress events.Progress
			)

			block := []byte(strings.Repeat(piece, 16<<10))

			for read := 0; read < total; read += len(block) {
				if _, err := progress.Scan(block); err != nil {
					return
				}

				splitter.Push(block)
				assert.Assert(t, len(splitter.Remainder()) <= 1<<20, "%d bytes are kept after %d", len(splitter.Remainder()), read+len(block))
			}
		})
	}
}

// Guards against an event that is kept without end because nothing has bounded it before.
func TestSplitterRejectsAnEventThatIsTooLong(t *testing.T) {
	var splitter events.Splitter

	block := make([]byte, 64<<10)

	for range 16 {
		splitter.Push(block)
		assert.Assert(t, !splitter.TooLong())
	}

	splitter.Push(block)
	assert.Assert(t, splitter.TooLong())
	assert.Equal(t, len(splitter.Remainder()), 0)
}

func FuzzPush(f *testing.F) {
	f.Add([]byte("id: 0\ndata: a\n\nid: 1\ndata: b\n\n"), 7)
	f.Add([]byte("id: 0\r\n\r\n\n\n"), 1)
	f.Add([]byte("\r\r\nid: 0\n\r\r\n"), 9)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		single := events.Splitter{LastID: -1}
		once := string(single.Push(data))

		if cut < 0 || cut > len(data) {
			return
		}

		split := events.Splitter{LastID: -1}
		twice := string(split.Push(data[:cut]))
		twice += string(split.Push(data[cut:]))

		assert.Equal(t, once, twice)
		assert.Equal(t, string(single.Remainder()), string(split.Remainder()))
	})
}
