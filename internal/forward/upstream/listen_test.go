package upstream_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// listen accepts connections and passes each to a function.
func listen(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}

			go serve(accepted.(*net.TCPConn))
		}
	}()

	return listener.Addr().String()
}
