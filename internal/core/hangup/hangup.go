// Package hangup prevents SIGHUP from ending a process that has just been started. The default action of SIGHUP ends a
// process, and a platform may send the signal at any time to have settings reloaded. The package has few imports, so that it
// is initialized early; a signal that arrives before the Go runtime has started still ends the process.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// startupSignals receives signals that arrive before the program installs its own handler.
var startupSignals = notify()

func notify() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)

	return signals
}

// Received reports whether the process has received SIGHUP since it started.
func Received() bool {
	return len(startupSignals) > 0
}

// RestoreDefault restores the default action of SIGHUP, for commands that should end when their terminal closes.
func RestoreDefault() {
	signal.Reset(syscall.SIGHUP)
}
