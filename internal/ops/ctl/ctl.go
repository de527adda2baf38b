// Package ctl implements the operators' command line.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/ops/client"
)

// Args holds the command line arguments; exactly one subcommand is set.
type Args struct {
	Address string        `arg:"--address,env:CHESTNUTBEAM_ADDRESS" help:"base URLs of entries, with commas between them, tried in order"`
	Token   string        `arg:"--token-file,env:CHESTNUTBEAM_TOKEN_FILE" help:"file with the operator token"`
	JSON    bool          `arg:"--json" help:"print JSON"`
	Wait    time.Duration `arg:"--wait" default:"15s" help:"how long to wait until a change is in force; 0s does not wait"`

	Show      *Show      `arg:"subcommand:show" help:"print the fleet document or a part of it"`
	Diff      *Diff      `arg:"subcommand:diff" help:"show what a fleet file would change"`
	Apply     *Apply     `arg:"subcommand:apply" help:"apply a fleet file"`
	Key       *Key       `arg:"subcommand:key" help:"grant and revoke keys"`
	Domain    *Domain    `arg:"subcommand:domain" help:"take failure domains out of service and back in"`
	VM        *VM        `arg:"subcommand:vm" help:"take VMs out of service and back in"`
	Exception *Exception `arg:"subcommand:exception" help:"add and drop exceptions"`
	Status    *Status    `arg:"subcommand:status" help:"show versions, freshness, failure domains, servers and holders"`
	Explain   *Explain   `arg:"subcommand:explain" help:"show what applies to a request and why"`
	Audit     *Audit     `arg:"subcommand:audit" help:"list changes"`
	Report    *Report    `arg:"subcommand:report" help:"show whether a version is in force"`

	// Out receives the output; nil selects the standard output.
	Out io.Writer `arg:"-"`
	// Err receives messages that are not part of the output; nil selects the standard error.
	Err io.Writer `arg:"-"`
}

// command is a subcommand.
type command interface {
	run(ctx context.Context, s *session) error
}

// session holds the API client and the output options of a subcommand.
type session struct {
	client *client.Client
	out    io.Writer
	errOut io.Writer
	json   bool
	// wait is how long to wait until a change is in force; 0 does not wait.
	wait time.Duration
}

// Run runs the subcommand. A non-nil error is always an *ExitError.
func (a *Args) Run(ctx context.Context) error {
	return toExitError(a.run(ctx))
}

func (a *Args) run(ctx context.Context) error {
	subcommand, err := a.subcommand()
	if err != nil {
		return err
	}

	s, err := a.session()
	if err != nil {
		return err
	}

	return subcommand.run(ctx, s)
}

func (a *Args) session() (*session, error) {
	if a.Address == "" {
		return nil, usageError("--address: no entry address is given")
	}

	token, err := os.ReadFile(a.Token)
	if err != nil {
		return nil, usageError("--token-file: %v", err)
	}

	addresses := strings.Split(a.Address, ",")
	for i, address := range addresses {
		addresses[i] = strings.TrimSuffix(strings.TrimSpace(address), "/")
	}

	s := &session{
		client: client.New(strings.TrimSpace(string(token)), addresses...),
		out:    a.Out, errOut: a.Err, json: a.JSON, wait: a.Wait,
	}

	if s.out == nil {
		s.out = os.Stdout
	}

	if s.errOut == nil {
		s.errOut = os.Stderr
	}

	return s, nil
}

func (a *Args) subcommand() (command, error) {
	switch {
	case a.Show != nil:
		return a.Show, nil
	case a.Diff != nil:
		return a.Diff, nil
	case a.Apply != nil:
		return a.Apply, nil
	case a.Key != nil:
		return a.Key.subcommand()
	case a.Domain != nil:
		return a.Domain.subcommand()
	case a.VM != nil:
		return a.VM.subcommand()
	case a.Exception != nil:
		return a.Exception.subcommand()
	case a.Status != nil:
		return a.Status, nil
	case a.Explain != nil:
		return a.Explain, nil
	case a.Audit != nil:
		return a.Audit, nil
	case a.Report != nil:
		return a.Report, nil
	default:
		return nil, usageError("no command is given")
	}
}

// print writes value as JSON if JSON output is selected; otherwise it calls write.
func (s *session) print(value any, write func(out io.Writer)) error {
	if !s.json {
		write(s.out)
		return nil
	}

	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")

	return errors.Wrap(encoder.Encode(value), "write output")
}

func (s *session) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s.errOut, format+"\n", args...)
}
