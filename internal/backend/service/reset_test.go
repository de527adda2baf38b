package service_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/loopback"
)

// Guards against a response without a length or chunks that counts as complete although its connection was reset while the request was still
// being written: the writer got the error of the reset, so that the reader saw an ordinary end.
func TestResponseThatIsResetDuringALargeCallIsIncomplete(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
		calls = 12
		large = 8 << 20
	)

	cases := map[string]struct {
		pause time.Duration
		// abort resets the connection; otherwise it is closed with unread data.
		abort bool
	}{
		"reset at once":           {abort: true},
		"reset a moment later":    {pause: 20 * time.Millisecond, abort: true},
		"closed with unread data": {},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			listener := loopback.Listen(t, loopback.AnyPort, func(conn *net.TCPConn) {
				_, _ = io.ReadFull(conn, make([]byte, 64<<10))
				_, _ = conn.Write([]byte(head + "half of the"))
				time.Sleep(c.pause)

				if c.abort {
					_ = conn.SetLinger(0)
				}

				_ = conn.Close()
			})

			client := &service.Client{URL: "http://" + listener.Addr().String()}

			for range calls {
				_, err := client.Call(t.Context(), service.Request{Method: http.MethodPost, Path: "/book", Body: make([]byte, large)})

				var failure *fault.Error

				assert.Check(t, errors.As(err, &failure), "%v", err)
				assert.Check(t, failure == nil || failure.Kind == fault.OutcomeUnknown, "%v", err)
			}
		})
	}
}
