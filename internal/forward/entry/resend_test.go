package entry

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// Guards against a request that is sent once more after SIGTERM although its deadline is after the end of the process (LOST): one that has not
// run is refused.
func TestRequestIsNotSentAgainIfTheProcessEndsBeforeItsDeadline(t *testing.T) {
	cases := map[string]struct {
		left time.Duration
		want fault.Kind
		sent int64
	}{
		"ends before the deadline": {left: time.Second, want: fault.Draining},
		"ends after the deadline":  {left: time.Hour, want: fault.NoServer, sent: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			closed, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			assert.NilError(t, closed.Close())

			e := testEntry(nil)

			var dials atomic.Int64

			e.PlainClient = &upstream.Client{OnDial: func() {
				dials.Add(1)
				e.Drain(time.Now(), time.Now().Add(c.left))
			}}

			for _, id := range []string{"a", "b"} {
				e.Fleet.Put(fleet.Server{ID: id, Service: "s", Address: closed.Addr().String(), Slots: 1})
			}

			j := testJob(catalog.Idempotent)
			sink := &recordingSink{}
			j.sink = sink
			j.service = catalog.Service{Name: "s"}

			e.run(t.Context(), j)
			assert.Equal(t, sink.err.Kind, c.want)
			assert.Equal(t, dials.Load(), 1+c.sent)
		})
	}
}
