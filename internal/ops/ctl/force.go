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

// forcePeriod is the time between two questions whether a version is in force.
const forcePeriod = 500 * time.Millisecond

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

// report prints the outcome of a change and waits until it is in force.
func (s *session) report(ctx context.Context, outcome api.Outcome) error {
	err := s.print(outcome, func(out io.Writer) {
		switch {
		case outcome.Pending:
			line(out, "held: the table does not answer; the entries reached refuse the key, and the change is committed later")
		case outcome.Unchanged:
			line(out, "nothing to change; the version is %d", outcome.Version)
		default:
			line(out, "committed as version %d", outcome.Version)
		}
	})
	if err != nil {
		return err
	}

	return s.await(ctx, outcome)
}

// await waits until the version is in force; a held revocation is not waited for.
func (s *session) await(ctx context.Context, outcome api.Outcome) error {
	if outcome.Pending {
		return &ExitError{Code: ExitNotInForce, Err: errors.New("accepted, not yet committed")}
	}

	if s.wait <= 0 {
		return nil
	}

	until := time.Now().Add(s.wait)

	for {
		report, err := s.inForce(ctx, outcome.Version)
		if err != nil {
			return &ExitError{Code: ExitNotInForce, Err: errors.Wrapf(err, "version %d is committed; whether it is in force is not known", outcome.Version)}
		}

		if report.InForce {
			s.note("version %d is in force", outcome.Version)
			return nil
		}

		if time.Now().After(until) {
			return notInForce(report)
		}

		select {
		case <-ctx.Done():
			return notInForce(report)
		case <-time.After(forcePeriod):
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

	line(out, "version %d is %s", report.Version, state)

	rows := newTable(out, "ENTRY", "DOMAIN", "VERSION", "STATE")
	for _, entry := range report.Entries {
		rows.add(entry.Name, entry.Domain, versionText(entry.Version), string(entry.State))
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
