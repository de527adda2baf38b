package conn_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcwire"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// Guards against a request that counts as possibly run although its agent has not received its end, and against one that counts as not
// received although it was sent to its end.
func TestMessageThatWasNotSent(t *testing.T) {
	const size = 4 << 20

	cases := map[string]struct {
		// read is the number of bytes that the peer reads before it closes the connection; it reads all of them if it is negative.
		read    int64
		notSent bool
	}{
		"closed at once":       {0, true},
		"closed in the middle": {size / 2, true},
		"closed after the end": {-1, false},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			pool := conn.New(func(context.Context, string) (net.Conn, error) { return client, nil })

			go func() {
				if c.read < 0 {
					_, _ = io.Copy(io.Discard, server)
					return
				}

				_, _ = io.CopyN(io.Discard, server, c.read)
				_ = server.Close()
			}()

			stream, err := relay.NewDRPCRelayClient(pool.Get("agent")).Exchange(t.Context(), &relay.Request{Body: make([]byte, size)})
			if err == nil {
				assert.NilError(t, server.Close())

				_, err = stream.Recv()
			}

			assert.Assert(t, err != nil)
			assert.Equal(t, errors.Is(err, conn.ErrNotSent), c.notSent, "%v", err)
			assert.NilError(t, pool.Close())
		})
	}
}

// slowConn is a connection that delays small writes, as that of the end of a stream after a large message.
type slowConn struct {
	net.Conn
	delay time.Duration
}

func (c *slowConn) Write(data []byte) (int, error) {
	if len(data) < 64 {
		time.Sleep(c.delay)
	}

	return c.Conn.Write(data)
}

// refuseMessage reads a message, refuses it with a code, and closes the writing side, as connlimit does.
func refuseMessage(listener net.Listener, code uint64) {
	server, err := listener.Accept()
	if err != nil {
		return
	}

	defer func() { _ = server.Close() }()

	reader := drpcwire.NewReaderWithOptions(server, conn.ManagerOptions().Reader)

	for {
		packet, err := reader.ReadPacket()
		if err != nil {
			return
		}

		if packet.Kind != drpcwire.KindMessage {
			continue
		}

		refusal := drpcwire.MarshalError(drpcerr.WithCode(errors.New("refused"), code))
		id := drpcwire.ID{Stream: packet.ID.Stream, Message: 1 << 40}
		_, _ = server.Write(drpcwire.AppendFrame(nil, drpcwire.Frame{Data: refusal, ID: id, Kind: drpcwire.KindError, Done: true}))

		if closer, ok := server.(*net.TCPConn); ok {
			_ = closer.CloseWrite()
		}

		_, _ = io.Copy(io.Discard, server)

		return
	}
}

// Guards against a refused request whose outcome counts as unknown, because the refusal and the end of the connection arrive while the end of the
// stream is being sent.
func TestRefusalWhileTheStreamIsSent(t *testing.T) {
	const code = 7614

	cases := map[string]struct{ delay time.Duration }{
		"the refusal arrives later":  {},
		"the refusal arrives before": {delay: 50 * time.Millisecond},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)

			defer func() { _ = listener.Close() }()

			pool := conn.New(func(_ context.Context, address string) (net.Conn, error) {
				client, err := net.Dial("tcp", address)

				return &slowConn{Conn: client, delay: c.delay}, err
			})

			go refuseMessage(listener, code)

			client := relay.NewDRPCRelayClient(pool.Get(listener.Addr().String()))

			stream, err := client.Exchange(t.Context(), &relay.Request{Body: make([]byte, 1<<20)})
			if err == nil {
				_, err = stream.Recv()
			}

			assert.Equal(t, drpcerr.Code(err), uint64(code), "%v", err)
			assert.NilError(t, pool.Close())
		})
	}
}
