package hosted_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/chestnutbeam/chestnutbeam/internal/program/hosted"
	"github.com/chestnutbeam/chestnutbeam/platform"
	"github.com/chestnutbeam/chestnutbeam/platform/standin"
)

// Guards against a metrics port that stays open after the agent has ended, so that the next agent at the address cannot start.
func TestAgentClosesItsMetricsPort(t *testing.T) {
	subnet, release, err := standin.ReserveSubnet()
	assert.NilError(t, err)
	t.Cleanup(release)

	address := subnet + ".10"
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	settings := &platform.Settings{VM: "agent", Address: address, ModelServerAddress: net.JoinHostPort(address, "8000"), FirstPort: 7600}

	go func() { ended <- (&hosted.Agent{Settings: settings}).Run(ctx) }()

	metrics := net.JoinHostPort(address, hosted.MetricsPort)

	poll.WaitOn(t, func(poll.LogT) poll.Result { return dialed(metrics, true) }, poll.WithTimeout(5*time.Second))
	cancel()
	assert.NilError(t, <-ended)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return dialed(metrics, false) }, poll.WithTimeout(5*time.Second))
}

// dialed returns a success if a process listens at the address or not, as wanted.
func dialed(address string, wanted bool) poll.Result {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
	}

	if (err == nil) == wanted {
		return poll.Success()
	}

	return poll.Continue("listening: %v", err == nil)
}
