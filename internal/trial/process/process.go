// Package process starts the program's processes on loopback, for the demonstration and for tests with real processes.
package process

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// stopTimeout bounds a graceful stop; a process that takes longer is killed.
const stopTimeout = 10 * time.Second

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

// Freeze stops the process with SIGSTOP until Thaw.
func (p *Process) Freeze() {
	p.signal(syscall.SIGSTOP)
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
