package entry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// bodySink records what a client gets.
type bodySink struct {
	recordingSink
	heads   int
	body    string
	aborted bool
}

func (s *bodySink) Begin(message.Head) error { s.heads++; return nil }

func (s *bodySink) Write(data []byte) error {
	s.body += string(data)
	return nil
}

func (s *bodySink) Abort() { s.aborted = true }

func head(status int, contentType string) message.ResponseStarted {
	return message.ResponseStarted{Head: message.Head{Status: status, Headers: []message.Header{{Name: "Content-Type", Value: contentType}}}}
}

// deliver passes the response of one server on, and returns its outcome given that of the exchange.
func deliver(e *Entry, j *job, head message.ResponseStarted, body string, last message.Event) message.Event {
	if j.responseStarted {
		j.splitter.Resume()
	}

	response := &response{entry: e, job: j}
	err := response.handle(head)

	for piece := range strings.SplitAfterSeq(body, "\n") {
		if err == nil && piece != "" {
			err = response.handle(message.Data{Bytes: []byte(piece)})
		}
	}

	if err != nil {
		last = message.Failed{Err: fault.New(fault.Canceled, "canceled")}
	}

	return response.outcome(last)
}

// Guards against the text of an error, or the events of another run, in the middle of a stream that began at an earlier server, and against
// a stream that ends as if it were complete after them.
func TestResponseThatCannotContinueAStream(t *testing.T) {
	const (
		events = "text/event-stream"
		first  = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
		third  = "id: 2\ndata: c\n\n"
		errors = `{"error":"overloaded"}` + "\n"
	)

	cases := map[string]struct {
		head      message.ResponseStarted
		body      string
		continues bool
		want      string
	}{
		"goes on":                         {head(200, events), third, true, third},
		"goes on, content type with rest": {head(200, "Text/Event-Stream; charset=utf-8"), third, true, third},
		"repeats and goes on":             {head(200, events), first + third, true, third},
		"nothing left":                    {head(200, events), "", true, ""},
		"error":                           {head(500, "application/json"), errors, false, ""},
		"error that looks like a stream":  {head(500, events), third, false, ""},
		"success of another type":         {head(200, "application/json"), errors, false, ""},
		"success without a type":          {head(200, ""), errors, false, ""},
		"page with blank lines":           {head(200, "text/html"), "<p>\n\n</p>\n\n", false, ""},
		"success without a body":          {head(204, ""), "", false, ""},
		"part of a body":                  {head(206, events), third, false, ""},
		"event without an id":             {head(200, events), "data: c\n\n" + third, false, ""},
		"event is missing":                {head(200, events), "id: 3\ndata: d\n\n", false, ""},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e, j := testEntry(nil), testJob(catalog.Resumable)
			sink := &bodySink{}
			j.sink = sink

			broken := message.Failed{Err: fault.New(fault.OutcomeUnknown, "broken off")}
			_, failed := deliver(e, j, head(200, events), first+"id: 2\nda", broken).(message.Failed)
			assert.Assert(t, failed)

			_, completed := deliver(e, j, c.head, c.body, message.Completed{}).(message.Completed)
			assert.Equal(t, completed, c.continues)
			assert.Equal(t, sink.body, first+c.want)
			assert.Equal(t, sink.heads, 1)
		})
	}
}

// Guards against a retry that waits for the end of an error whose body has none.
func TestErrorWithoutEndIsNotReadToItsEnd(t *testing.T) {
	e, j := testEntry(nil), testJob(catalog.Idempotent)
	sink := &bodySink{}
	j.sink = sink

	outcome := deliver(e, j, head(500, "text/plain"), strings.Repeat(strings.Repeat("x", 1023)+"\n", 1024), message.Completed{})

	failed, ok := outcome.(message.Failed)
	assert.Assert(t, ok, "%#v", outcome)
	assert.ErrorIs(t, failed.Err, errErrorTooLong)
	assert.Equal(t, sink.heads, 0)
}
