package check

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/ops/ctl"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/inspect"
	"github.com/chestnutbeam/chestnutbeam/platform"
)

// exitFindings is the exit code for a configuration that was read and has findings.
const exitFindings = 1

// Platform names the configuration to check and the version in force, if any.
type Platform struct {
	Path string `arg:"positional,required"`
	Base string `arg:"--base" help:"the version in force; the differences from it are listed"`
}

// run writes the report. A non-nil error is always a *ctl.ExitError.
func (p *Platform) run(out io.Writer) error {
	draft, err := readDraft(p.Path)
	if err != nil {
		return &ctl.ExitError{Code: ctl.ExitUsage, Err: err}
	}

	findings := inspect.Inspect(draft)

	var differences []string

	if p.Base != "" {
		base, err := readDraft(p.Base)
		if err != nil {
			return &ctl.ExitError{Code: ctl.ExitUsage, Err: err}
		}

		findings = append(findings, inspect.CompareVersions(base, draft)...)
		differences = inspect.Diff(base, draft)
	}

	for _, finding := range findings {
		_, _ = fmt.Fprintln(out, finding)
	}

	for _, difference := range differences {
		_, _ = fmt.Fprintln(out, difference)
	}

	if len(findings) > 0 {
		return &ctl.ExitError{Code: exitFindings, Err: errors.Newf("%s: findings: %d", p.Path, len(findings))}
	}

	_, _ = fmt.Fprintf(out, "%s has no findings\n", p.Path)

	return nil
}

func readDraft(path string) (*inspect.Draft, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}

	draft, err := platform.DecodeDraft(data)

	return draft, errors.Wrap(err, path)
}
