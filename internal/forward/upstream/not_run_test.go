package upstream_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// readRequest reads one request to its end.
func readRequest(conn net.Conn) {
	got := make([]byte, 0, 4096)
	piece := make([]byte, 4096)

	for !bytes.HasSuffix(got, []byte("body")) {
		n, err := conn.Read(piece)
		if err != nil {
			return
		}

		got = append(got, piece[:n]...)
	}
}

// Guards against a refusal with a promise of a request of which a byte may have left the process, without the server's own word for it
// (REFUSED, TWICE).
func TestOnlyAFailedDialOrTheServersWordMeansNotRun(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}

	cases := map[string]struct {
		serve   func(conn *net.TCPConn)
		dial    upstream.Dialer
		body    []byte
		refused bool
	}{
		"read, then silent": {serve: func(conn *net.TCPConn) {
			readRequest(conn)
			time.Sleep(time.Second)
		}},
		"paused: never read":         {serve: func(*net.TCPConn) { time.Sleep(time.Second) }},
		"paused: a large body waits": {serve: func(*net.TCPConn) { time.Sleep(time.Second) }, body: make([]byte, 8<<20)},
		"reset before anything is read": {serve: func(conn *net.TCPConn) {
			// An earlier reset ends the dial, before which nothing is sent.
			time.Sleep(50 * time.Millisecond)
			reset(conn)
		}},
		"reset after a part was read": {serve: func(conn *net.TCPConn) {
			_, _ = io.ReadFull(conn, make([]byte, 8))
			reset(conn)
		}},
		"reset in the middle of a large body": {serve: func(conn *net.TCPConn) {
			_, _ = io.ReadFull(conn, make([]byte, 64<<10))
			reset(conn)
		}, body: make([]byte, 8<<20)},
		"reset after the request was read": {serve: func(conn *net.TCPConn) {
			readRequest(conn)
			reset(conn)
		}},
		"closed after the request was read": {serve: func(conn *net.TCPConn) {
			readRequest(conn)
			_ = conn.Close()
		}},
		"responses held back": {serve: func(conn *net.TCPConn) {
			readRequest(conn)
			time.Sleep(500 * time.Millisecond)
			_, _ = conn.Write([]byte(completeResponse))
		}},
		"503 without the server's word": {serve: func(conn *net.TCPConn) {
			readRequest(conn)
			_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nContent-Length: 0\r\n\r\n"))
		}},
		"408 of a proxy": {serve: func(conn *net.TCPConn) {
			readRequest(conn)
			_, _ = conn.Write([]byte("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		}},
		"half of the server's word": {serve: func(conn *net.TCPConn) {
			readRequest(conn)
			_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nNot-Run: 1\r\n"))
			_ = conn.Close()
		}},
		"word for another request": {serve: func(conn *net.TCPConn) {
			readRequest(conn)
			_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nId: r0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
			time.Sleep(time.Second)
		}},
		"the server's word": {serve: func(conn *net.TCPConn) {
			readRequest(conn)
			_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		}, refused: true},
		"word before the large body is read": {serve: func(conn *net.TCPConn) {
			_, _ = io.ReadFull(conn, make([]byte, 64))
			_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
			time.Sleep(time.Second)
		}, body: make([]byte, 8<<20), refused: true},
		"dial refused":   {dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("connection refused") }, refused: true},
		"dial timed out": {dial: timeoutDialer(10 * time.Millisecond), refused: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			address := "127.0.0.1:1"
			if c.serve != nil {
				address = listen(t, c.serve)
			}

			d := delivery("r1")
			d.Method = http.MethodPost

			if c.body != nil {
				d.Body = c.body
			}

			client := &upstream.Client{Codec: codec{}, Dial: c.dial}
			last, _ := client.Exchange(t.Context(), address, d, func(message.Event) error { return nil })

			_, refused := last.(message.Refused)
			assert.Equal(t, refused, c.refused, "%#v", last)
		})
	}
}

// Guards against a request that counts as not run because the process was paused until after its deadline: nothing may be sent then, and
// the outcome is the same as for any other late request.
func TestRequestAfterItsDeadlineIsNotSent(t *testing.T) {
	received := make(chan int, 1)
	address := listen(t, func(conn *net.TCPConn) {
		n, _ := conn.Read(make([]byte, 1))
		received <- n
	})

	d := delivery("r1")
	d.Deadline = time.Now().Add(-time.Second)

	last, _ := (&upstream.Client{Codec: codec{}}).Exchange(t.Context(), address, d, func(message.Event) error { return nil })
	_, completed := last.(message.Completed)
	assert.Assert(t, !completed)
	assert.Equal(t, <-received, 0)
}
