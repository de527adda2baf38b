package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// Guards against a silent or rejecting server that is taken for one that has ended under a request, and against one that is not.
func TestEndBeforeResponse(t *testing.T) {
	cases := map[string]struct {
		response                   string
		beforeHead, begins, inBody bool
	}{
		"no response":          {"<close>", true, false, false},
		"part of head":         {"HTTP/1.1 200 OK\r\nId: I<close>", true, false, false},
		"head only":            {"HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nContent-Length: 9\r\n\r\n<close>", false, true, false},
		"part of body":         {"HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nContent-Length: 9\r\n\r\ngood<close>", false, false, true},
		"all but the end":      {"HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n<close>", false, false, true},
		"part of a failure":    {"HTTP/1.1 500 No\r\nId: ID\r\nMark: 1\r\nContent-Length: 9\r\n\r\ngood<close>", false, false, true},
		"unframed, it listens": {"HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\n\r\ngood<close>", false, false, false},
		"silent":               {"", false, false, false},
		"rejected":             {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n<close>", false, false, false},
		"complete":             {completeResponse + "<close>", false, false, false},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			server := serve(t, c.response)
			client := &upstream.Client{Codec: codec{}, VerifyEnds: true}
			_, info := client.Exchange(t.Context(), server.address, delivery("r1"), func(message.Event) error { return nil })
			assert.Equal(t, info.EndedBeforeHead, c.beforeHead)
			assert.Equal(t, info.EndedAtStart, c.begins)
			assert.Equal(t, info.EndedInBody, c.inBody)
		})
	}
}

// Guards against a response without a length or chunks that counts as complete although its server has ended between two events.
func TestUnframedResponseOfAServerThatHasEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}

		_, _ = conn.Read(make([]byte, 1024))
		_ = listener.Close()
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: r1\r\nMark: 1\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n"))
		_ = conn.Close()
	}()

	client := &upstream.Client{Codec: codec{}, VerifyEnds: true}
	last, info := client.Exchange(t.Context(), listener.Addr().String(), delivery("r1"), func(message.Event) error { return nil })

	_, failed := last.(message.Failed)
	assert.Assert(t, failed, "%#v", last)
	assert.Assert(t, info.EndedInBody)
}

// Guards against a server that is taken for ended although it listens, and against one that has ended and is not recognized.
func TestIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	client := &upstream.Client{Codec: codec{}}
	assert.Assert(t, !client.IsClosed(t.Context(), listener.Addr().String()))
	assert.NilError(t, listener.Close())
	assert.Assert(t, client.IsClosed(t.Context(), listener.Addr().String()))

	unreachable := &upstream.Client{Codec: codec{}, Dial: timeoutDialer(time.Millisecond)}
	assert.Assert(t, !unreachable.IsClosed(t.Context(), listener.Addr().String()))
}

// timeoutDialer returns a dialer that never connects.
func timeoutDialer(after time.Duration) upstream.Dialer {
	return func(ctx context.Context, _ string) (net.Conn, error) {
		bounded, cancel := context.WithTimeout(ctx, after)
		defer cancel()

		<-bounded.Done()

		return nil, bounded.Err()
	}
}
