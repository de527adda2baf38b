package command_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/chestnutbeam/chestnutbeam/internal/program/command"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
	standin "github.com/chestnutbeam/chestnutbeam/internal/standin/table"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/vms"
)

type runner interface {
	Run(ctx context.Context) error
}

// Tests that the commands read their settings, open their listeners, become ready only after the table has responded, and
// shut down without an error.
func TestCommands(t *testing.T) {
	cases := map[string]func(t *testing.T, platform, probe string) runner{
		"agent": func(t *testing.T, platform, probe string) runner {
			t.Helper()

			model := engine.New(engine.Config{Slots: 2, BatchSize: 2})
			t.Cleanup(model.Close)

			text := fmt.Sprintf("%sserver: s1\nlisten: 127.0.0.1:0\nmetrics: %s\nengine: %s\nlog: error\n", platform, probe, serve(t, model.Handler()))

			return &command.Agent{Settings: write(t, text)}
		},
		"entry": func(t *testing.T, platform, probe string) runner {
			t.Helper()

			text := fmt.Sprintf("%slisten: %s\npeer: 127.0.0.1:0\nlog: error\n", platform, probe)

			return &command.Entry{Settings: write(t, text)}
		},
	}

	for name, build := range cases {
		t.Run(name, func(t *testing.T) {
			server := &standin.Server{}
			server.Switches.Set(switches.State{Outage: true})

			tableURL := serve(t, server.Handler())
			platform := fmt.Sprintf("place: {vm: v1, domain: d1}\nplatform: {table: %s, objects: %s, vms: %s}\n",
				tableURL, tableURL, serve(t, (&vms.Server{}).Handler()))
			probe := freeAddress(t)

			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()

			ended := make(chan error, 1)

			go func() { ended <- build(t, platform, probe).Run(ctx) }()

			await(t, probe, http.StatusServiceUnavailable)
			server.Switches.Set(switches.State{})
			await(t, probe, http.StatusOK)
			cancel()
			assert.NilError(t, <-ended)
		})
	}
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()

	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	return server.URL
}

// write writes a settings file and returns its path.
func write(t *testing.T, text string) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))

	return path
}

// freeAddress returns a free loopback address that outgoing connections of other processes do not use.
func freeAddress(t *testing.T) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.3:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())

	return listener.Addr().String()
}

// await waits until the readiness endpoint returns the status.
func await(t *testing.T, probe string, status int) {
	t.Helper()

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + probe + "/readyz")
		if err != nil {
			return poll.Continue("%v", err)
		}

		if err := response.Body.Close(); err != nil {
			return poll.Error(err)
		}

		if response.StatusCode != status {
			return poll.Continue("status %d", response.StatusCode)
		}

		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}
