// Package hangup keeps SIGHUP from ending a process that has just been started. Its default action ends a process, and a
// platform may send it at any moment to have settings read again. The package imports little, so that it is initialised early;
// before the Go runtime is up nothing can be done.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// early takes the signals before the program has a handler of its own.
var early = receive()

func receive() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)

	return signals
}

// Received reports whether the signal has come since the start of the process.
func Received() bool {
	return len(early) > 0
}

// RestoreDefault restores the default action, for commands that end with their terminal.
func RestoreDefault() {
	signal.Reset(syscall.SIGHUP)
}
