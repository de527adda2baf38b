package fleet

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/trial/process"
)

// Guards against a first operator command that fails because the entry is not listening yet. The entry starts to listen late
// and does not become ready before that command.
func TestAwaitListening(t *testing.T) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	address := reserved.Addr().String()
	assert.NilError(t, reserved.Close())

	sleeper, err := process.Start(t.Context(), "/bin/sleep", t.TempDir(), "entry-a", "10")
	assert.NilError(t, err)
	t.Cleanup(sleeper.Stop)

	f := &Fleet{
		plans:     []processPlan{{name: "entry-a", ready: "http://" + address + "/readyz"}},
		processes: map[string]*process.Process{"entry-a": sleeper},
	}

	listening := make(chan time.Time, 1)

	go func() {
		time.Sleep(300 * time.Millisecond)

		listener, err := net.Listen("tcp", address)
		if err != nil {
			return
		}

		listening <- time.Now()

		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		})}
		_ = server.Serve(listener)
	}()

	assert.NilError(t, f.AwaitListening(t.Context(), "entry-a"))
	assert.Assert(t, time.Now().After(<-listening))
	assert.ErrorContains(t, f.AwaitListening(t.Context(), "entry-z"), "no process named entry-z")
}
