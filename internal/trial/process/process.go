// Package process starts the program's processes on loopback, for the demonstration and for tests with real processes.
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

// stopTimeout bounds a graceful stop; a process that takes longer is killed.
const stopTimeout = 10 * time.Second

const (
	// freezePoll is the time between two looks at a process that is to stop.
	freezePoll = time.Millisecond
	// freezePolls bounds the looks.
	freezePolls = 2000
)

// Process is one running process of the program.
type Process struct {
	// Name is used for the log file.
	Name string
	// Log is the path of the file that holds standard output and standard error.
	Log string

	cmd  *exec.Cmd
	done chan struct{}
}

// Start runs the binary with arguments; its output goes to a file in dir.
func Start(ctx context.Context, binary, dir, name string, args ...string) (*Process, error) {
	p := &Process{Name: name, Log: filepath.Join(dir, name+".log"), done: make(chan struct{})}

	output, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// ExitCode returns the exit code; call it after Done is closed.
func (p *Process) ExitCode() int {
	return p.cmd.ProcessState.ExitCode()
}

// Kill ends the process at once with SIGKILL and waits for it.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process with SIGSTOP until Thaw, and returns when every thread has stopped. The signal alone leaves a
// busy process running for a moment, in which it may still serve what a test sends.
func (p *Process) Freeze() {
	p.signal(syscall.SIGSTOP)

	for range freezePolls {
		if p.stopped() {
			return
		}

		time.Sleep(freezePoll)
	}
}

// stopped reports whether every thread is in the stopped state.
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

// Thaw continues a frozen process.
func (p *Process) Thaw() {
	p.signal(syscall.SIGCONT)
}

// Terminate sends SIGTERM, which begins a graceful shutdown.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// Stop shuts the process down gracefully and kills it if that takes too long.
func (p *Process) Stop() {
	p.Thaw()
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
		_ = p.cmd.Process.Signal(signal) // the process may have ended meanwhile
	}
}
