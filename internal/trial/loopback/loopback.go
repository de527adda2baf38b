// Package loopback serves the TCP connections of tests at loopback addresses, for servers that break the rules of HTTP.
package loopback

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// AnyPort is the address of a free port.
const AnyPort = "127.0.0.1:0"

// Listen accepts connections at an address until the test ends or the listener is closed, and passes each to a function, which runs in a
// goroutine of its own and closes the connection.
func Listen(tb testing.TB, address string, serve func(conn *net.TCPConn)) net.Listener {
	tb.Helper()

	listener, err := net.Listen("tcp", address) //nolint:noctx // it ends with the test
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = listener.Close() })

	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}

			go serve(accepted.(*net.TCPConn))
		}
	}()

	return listener
}
