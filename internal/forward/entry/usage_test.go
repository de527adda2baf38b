package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// usageCounter counts what an entry counts.
type usageCounter struct {
	begun, sent, ran int
}

func (u *usageCounter) Begin(string) {
	u.begun++
}

func (u *usageCounter) Send(string) func(ran bool) {
	u.sent++

	return func(ran bool) {
		if ran {
			u.ran++
		}
	}
}

// Guards against a run of a stream that counts before its first event, for each event, or not again at another server.
func TestStreamCountsAtTheFirstEventOfEachRun(t *testing.T) {
	counter := &usageCounter{}
	e := testEntry(nil)
	e.Usage = counter

	j := testJob(catalog.Resumable)
	j.account.Name = "acme"
	j.sink = &bodySink{}

	first := newResponse(e, j, silentServer)
	assert.NilError(t, first.handle(head(200, "text/event-stream")))
	assert.NilError(t, first.handle(message.Data{Bytes: []byte("id: 0\n")}))
	assert.Equal(t, counter.begun, 0)
	assert.NilError(t, first.handle(message.Data{Bytes: []byte("data: a\n\nid: 1\ndata: b\n\n")}))
	assert.NilError(t, first.handle(message.Data{Bytes: []byte("id: 2\ndata: c\n\n")}))
	assert.Equal(t, counter.begun, 1)

	j.splitter.Resume()

	second := newResponse(e, j, silentServer)
	assert.NilError(t, second.handle(head(200, "text/event-stream")))
	assert.Equal(t, counter.begun, 1)
	assert.NilError(t, second.handle(message.Data{Bytes: []byte("id: 3\ndata: d\n\n")}))
	assert.Equal(t, counter.begun, 2)
}

// Guards against plain requests that count although they were refused, and against requests without an account, and streams, that count at their send.
func TestPlainRequestCountsUnlessItIsRefused(t *testing.T) {
	refused := message.Refused{Err: fault.New(fault.Overloaded, "full")}

	cases := map[string]struct {
		account   string
		stream    bool
		last      message.Event
		sent, ran int
	}{
		"complete":   {account: "acme", last: message.Completed{}, sent: 1, ran: 1},
		"broken off": {account: "acme", last: message.Failed{}, sent: 1, ran: 1},
		"refused":    {account: "acme", last: refused, sent: 1},
		"public":     {last: message.Completed{}},
		"stream":     {account: "acme", stream: true, last: message.Completed{}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			counter := &usageCounter{}
			e := testEntry(nil)
			e.Usage = counter

			j := testJob(catalog.Idempotent)
			j.account.Name, j.route.Stream = c.account, c.stream
			e.countSend(j)(c.last)
			assert.Equal(t, counter.sent, c.sent)
			assert.Equal(t, counter.ran, c.ran)
		})
	}
}
