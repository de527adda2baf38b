package events_test

import (
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

func FuzzPush(f *testing.F) {
	f.Add([]byte("id: 0\ndata: a\n\nid: 1\ndata: b\n\n"), 7)
	f.Add([]byte("id: 0\r\n\r\n\n\n"), 1)
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
