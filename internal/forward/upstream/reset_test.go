package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

const (
	unframedHead   = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: 1\r\nConnection: close\r\n\r\n"
	unframedStream = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: 1\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n"
	// resetRuns is the number of requests of each case. Which call gets the error of a reset depends on chance.
	resetRuns = 12
)

// reset closes a connection with a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// readSome reads a part of the request, so that its writer waits for the rest.
func readSome(conn *net.TCPConn) {
	_, _ = io.ReadFull(conn, make([]byte, 64<<10))
}

// sendLarge sends a request with a body of the given size, and returns the body of the response and the last event.
func sendLarge(t *testing.T, client *upstream.Client, address string, size int) (string, message.Event) {
	t.Helper()

	request := delivery("r1")
	request.Body = []byte(strings.Repeat("u", size))
	body := ""

	last, _ := client.Exchange(t.Context(), address, request, func(event message.Event) error {
		if data, ok := event.(message.Data); ok {
			body += string(data.Bytes)
		}

		return nil
	})

	return body, last
}

// Guards against a response without a length or chunks that counts as complete although its connection was reset: the request was still being
// written, and the writer got the error of the reset, so that the reader saw an ordinary end.
func TestResponseThatIsResetDuringALargeRequestIsBrokenOff(t *testing.T) {
	const large = 8 << 20

	cases := map[string]struct {
		head string
		// end is what the server does after it has sent a part of its response.
		end func(conn *net.TCPConn)
		// size is that of the body of the request.
		size int
	}{
		"at once":                        {unframedHead, reset, large},
		"a moment later":                 {unframedHead, func(conn *net.TCPConn) { time.Sleep(20 * time.Millisecond); reset(conn) }, large},
		"by a close with unread data":    {unframedHead, func(conn *net.TCPConn) { _ = conn.Close() }, large},
		"stream between two events":      {unframedStream, reset, large},
		"request that fits into buffers": {unframedHead, reset, 100 << 10},
		"after the end was sent": {unframedHead, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()

			time.Sleep(20 * time.Millisecond)
			reset(conn)
		}, large},
	}

	for name, c := range cases {
		for verify, client := range map[string]*upstream.Client{
			"": {Codec: codec{}}, ", ends verified": {Codec: codec{}, VerifyEnds: true},
		} {
			t.Run(name+verify, func(t *testing.T) {
				address := listen(t, func(conn *net.TCPConn) {
					readSome(conn)
					_, _ = conn.Write([]byte(c.head + "data: a\n\n"))
					c.end(conn)
				})

				for range resetRuns {
					_, last := sendLarge(t, client, address, c.size)

					failed, ok := last.(message.Failed)
					assert.Check(t, ok, "%#v", last)

					if ok {
						assert.Check(t, failed.Err.Kind == fault.OutcomeUnknown, "%v", failed.Err)
					}
				}
			})
		}
	}
}

// Guards against a whole response that is cut off or delayed because its server has read a large request slowly, and against a promise that a request
// has not run which was read only in part.
func TestUnframedResponseToALargeRequest(t *testing.T) {
	const large = 8 << 20

	cases := map[string]struct {
		respond func(conn *net.TCPConn)
		// complete is true if the response has to count as complete. The response to a request that was read only in part may be whole, which nothing
		// tells.
		complete bool
	}{
		"request was read before": {func(conn *net.TCPConn) {
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}

			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = conn.Write([]byte(unframedHead + "good"))
		}, true},
		"request is read after it": {func(conn *net.TCPConn) {
			readSome(conn)
			_, _ = conn.Write([]byte(unframedHead + "good"))
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, true},
		"request is read in part": {func(conn *net.TCPConn) {
			readSome(conn)
			_, _ = conn.Write([]byte(unframedHead + "good"))
		}, false},
		"request is not read": {func(conn *net.TCPConn) {
			_, _ = conn.Write([]byte(unframedHead + "good"))
		}, false},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			address := listen(t, func(conn *net.TCPConn) {
				c.respond(conn)

				_ = conn.Close()
			})

			body, last := sendLarge(t, &upstream.Client{Codec: codec{}, VerifyEnds: true}, address, large)

			switch event := last.(type) {
			case message.Completed:
				assert.Equal(t, body, "good")
			case message.Failed:
				assert.Check(t, !c.complete, "%v", event.Err)
				assert.Check(t, event.Err.Kind == fault.OutcomeUnknown, "%v", event.Err)
			default:
				t.Errorf("unexpected outcome %#v", last)
			}
		})
	}
}
