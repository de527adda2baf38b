package conn_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

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
