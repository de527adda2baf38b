package hangup_test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/chestnutbeam/chestnutbeam/internal/core/hangup"
)

// defaultVariable is the environment variable that makes the test binary restore the default action of SIGHUP.
const defaultVariable = "HANGUP_TEST_DEFAULT"

// Guards against SIGHUP ending a process before its handler is installed. In a soak run (seed 4) the signal arrived right
// after an entry started, and the entry ended without a log line.
func TestSignalRightAfterStart(t *testing.T) {
	if os.Getenv(defaultVariable) != "" {
		hangup.RestoreDefault()
	}

	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if hangup.Received() {
			return poll.Success()
		}

		return poll.Continue("the signal has not been received")
	})
}

// Guards against commands that keep running after their terminal has closed.
func TestDefaultActionEndsTheProcess(t *testing.T) {
	command := exec.Command(os.Args[0], "-test.run", "^TestSignalRightAfterStart$")
	command.Env = append(os.Environ(), defaultVariable+"=1")

	err := command.Run()

	var ended *exec.ExitError

	assert.Assert(t, errors.As(err, &ended), "%v", err)

	status, ok := ended.Sys().(syscall.WaitStatus)
	assert.Assert(t, ok && status.Signaled() && status.Signal() == syscall.SIGHUP, "%v", err)
}
