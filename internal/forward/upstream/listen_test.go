package upstream_test

import (
	"net"
	"testing"

	"github.com/chestnutbeam/chestnutbeam/internal/trial/loopback"
)

// listen accepts connections and passes each to a function.
func listen(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()

	return loopback.Listen(t, loopback.AnyPort, serve).Addr().String()
}
