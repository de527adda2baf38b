package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
)

// inForcePollInterval is the interval at which the command polls whether a version is in force.
const inForcePollInterval = 500 * time.Millisecond

// Report shows whether a version is in force.
type Report struct {
	Version int64 `arg:"positional,required"`
}

func (r *Report) run(ctx context.Context, s *session) error {
	report, err := s.inForce(ctx, r.Version)
	if err != nil {
		return err
	}

	if err := s.print(report, func(out io.Writer) { printReport(out, report) }); err != nil {
		return err
	}

	return notInForce(report)
}

// reportOutcome prints the outcome of a change and waits until it is in force.
func (s *session) reportOutcome(ctx context.Context, outcome api.Outcome) error {
	err := s.print(outcome, func(out io.Writer) {
		switch {
		case outcome.Pending:
			printLine(out, "held: the table does not answer; the entries reached refuse the key, and the change is committed later")
		case outcome.Unchanged:
			printLine(out, "nothing to change; the version is %d", outcome.Version)
		default:
			printLine(out, "committed as version %d", outcome.Version)
		}
	})
	if err != nil {
		return err
	}

	return s.waitInForce(ctx, outcome)
}

// waitInForce waits until the version is in force. It does not wait for a pending revocation.
func (s *session) waitInForce(ctx context.Context, outcome api.Outcome) error {
	if outcome.Pending {
		return &ExitError{Code: ExitNotInForce, Err: errors.New("accepted, not yet committed")}
	}

	if s.wait <= 0 {
		return nil
	}

	deadline := time.Now().Add(s.wait)

	for {
		report, err := s.inForce(ctx, outcome.Version)
		if err != nil {
			return &ExitError{Code: ExitNotInForce, Err: errors.Wrapf(err, "version %d is committed; whether it is in force is unknown", outcome.Version)}
		}

		if report.InForce {
			s.note("version %d is in force", outcome.Version)
			return nil
		}

		if time.Now().After(deadline) {
			return notInForce(report)
		}

		select {
		case <-ctx.Done():
			return notInForce(report)
		case <-time.After(inForcePollInterval):
		}
	}
}

func (s *session) inForce(ctx context.Context, version int64) (api.VersionReport, error) {
	var report api.VersionReport

	return report, s.client.Get(ctx, fmt.Sprintf("/versions/%d", version), nil, &report)
}

func printReport(out io.Writer, report api.VersionReport) {
	state := "not yet in force"
	if report.InForce {
		state = "in force"
	}

	printLine(out, "version %d is %s", report.Version, state)

	rows := newTable(out, "ENTRY", "DOMAIN", "VERSION", "STATE")
	for _, entry := range report.Entries {
		rows.add(entry.Name, entry.Domain, formatVersion(entry.Version), string(entry.State))
	}

	rows.flush()
}

func notInForce(report api.VersionReport) error {
	if report.InForce {
		return nil
	}

	var waiting []string

	for _, entry := range report.Entries {
		if entry.State != api.EntryConfirmed {
			waiting = append(waiting, fmt.Sprintf("%s is %s", entry.Name, entry.State))
		}
	}

	if len(waiting) == 0 {
		waiting = append(waiting, fmt.Sprintf("%.1f s of the freshness limit remain", report.Remaining))
	}

	err := errors.Newf("version %d is committed and not yet in force: %s", report.Version, strings.Join(waiting, ", "))

	return &ExitError{Code: ExitNotInForce, Err: err}
}
