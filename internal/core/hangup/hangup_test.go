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

// defaultVariable makes the test binary end by the signal.
const defaultVariable = "HANGUP_TEST_DEFAULT"

// Guards against a process that SIGHUP ends before its handler is installed, as a soak with seed 4 showed: the signal came
// right after the start of an entry, which ended without a line in its log.
func TestSignalRightAfterTheStart(t *testing.T) {
	if os.Getenv(defaultVariable) != "" {
		hangup.RestoreDefault()
	}

	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if hangup.Received() {
			return poll.Success()
		}

		return poll.Continue("the signal has not come")
	})
}

// Guards against commands that go on after their terminal has gone.
func TestDefaultEndsTheProcess(t *testing.T) {
	command := exec.Command(os.Args[0], "-test.run", "^TestSignalRightAfterTheStart$")
	command.Env = append(os.Environ(), defaultVariable+"=1")

	err := command.Run()

	var ended *exec.ExitError

	assert.Assert(t, errors.As(err, &ended), "%v", err)

	status, ok := ended.Sys().(syscall.WaitStatus)
	assert.Assert(t, ok && status.Signaled() && status.Signal() == syscall.SIGHUP, "%v", err)
}
