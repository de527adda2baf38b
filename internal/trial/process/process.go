// Package process runs chestnutbeam processes for the demonstration and for tests with real processes.
package process

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// stopTimeout bounds a graceful shutdown; a process that takes longer is killed.
const stopTimeout = 10 * time.Second

const (
	// pausePollInterval is the interval at which Pause polls the state of the process.
	pausePollInterval = time.Millisecond
	// maxPausePolls bounds the number of polls.
	maxPausePolls = 2000
)

// Process is one running process of the program.
type Process struct {
	// Name is the base name of the log file.
	Name string
	// LogPath is the path of the file that holds standard output and standard error.
	LogPath string

	cmd  *exec.Cmd
	done chan struct{}
}

// Start runs the binary with the arguments and appends its output to a log file in dir.
func Start(ctx context.Context, binary, dir, name string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogPath: filepath.Join(dir, name+".log"), done: make(chan struct{})}

	output, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrapf(err, "open log of %s", name)
	}
	defer output.Close() //nolint:errcheck // the process keeps its own descriptor

	p.cmd = exec.CommandContext(ctx, binary, args...)
	p.cmd.Stdout = output
	p.cmd.Stderr = output

	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}

	go p.wait()

	return p, nil
}

func (p *Process) wait() {
	_ = p.cmd.Wait() // the exit code is read from ProcessState
	close(p.done)
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// ExitCode returns the exit code. It may be called only after Done is closed.
func (p *Process) ExitCode() int {
	return p.cmd.ProcessState.ExitCode()
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause sends SIGSTOP and returns when every thread has stopped; Resume continues the process. Pause polls because a busy
// process still runs for a short time after the signal and could serve a request that a test sends in that time.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)

	for range maxPausePolls {
		if p.stopped() {
			return
		}

		time.Sleep(pausePollInterval)
	}
}

// stopped reports whether every thread is in the stopped state (T in /proc).
func (p *Process) stopped() bool {
	paths, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "task", "*", "stat"))
	if err != nil || len(paths) == 0 {
		return false
	}

	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err == nil && !bytes.Contains(stat, []byte(") T ")) {
			return false
		}
	}

	return true
}

// Resume sends SIGCONT, which continues a paused process.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
}

// Terminate sends SIGTERM, which starts a graceful shutdown.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// Stop shuts the process down gracefully and kills it if that takes longer than stopTimeout.
func (p *Process) Stop() {
	p.Resume()
	p.Terminate()

	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

func (p *Process) signal(signal syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(signal) // the process may have exited in the meantime
	}
}
