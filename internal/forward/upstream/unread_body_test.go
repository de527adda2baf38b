package upstream_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// Guards against a response that is cut because its server reads the body of the request late or not at all (LOST).
func TestResponseOfAServerThatReadsNoBody(t *testing.T) {
	t.Parallel()

	const (
		pieces = 9
		pause  = 500 * time.Millisecond
	)

	address := listen(t, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()

		_ = conn.SetReadBuffer(4 << 10)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: r\r\nMark: 1\r\nContent-Length: 9\r\n\r\n"))

		for range pieces {
			time.Sleep(pause)

			if _, err := conn.Write([]byte("x")); err != nil {
				return
			}
		}
	})

	client := &upstream.Client{Codec: codec{}}
	request := delivery("r")
	request.ReadTimeout = 0
	request.Deadline = time.Now().Add(20 * time.Second)
	request.Body = []byte(strings.Repeat("x", 8<<20))

	received := 0
	outcome, _ := client.Exchange(t.Context(), address, request, func(event message.Event) error {
		if data, ok := event.(message.Data); ok {
			received += len(data.Bytes)
		}

		return nil
	})

	assert.Equal(t, received, pieces)
	_, completed := outcome.(message.Completed)
	assert.Assert(t, completed, "%#v", outcome)
}
