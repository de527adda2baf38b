package check_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/chestnutbeam/chestnutbeam/internal/ops/ctl"
	"github.com/chestnutbeam/chestnutbeam/internal/program/check"
)

// run runs the command and returns its output and its exit code.
func run(t *testing.T, arguments ...string) (output string, code int) {
	t.Helper()

	var (
		args check.Args
		out  bytes.Buffer
		exit *ctl.ExitError
	)

	parser, err := arg.NewParser(arg.Config{}, &args)
	assert.NilError(t, err)
	assert.NilError(t, parser.Parse(arguments))

	args.Out = &out

	if err := args.Run(context.Background()); err != nil {
		assert.Assert(t, errors.As(err, &exit))
		return out.String(), exit.Code
	}

	return out.String(), 0
}

// Guards against exit codes by which a script sends a configuration with faults, or stops at one that only has differences.
func TestCheckPlatformExitCodes(t *testing.T) {
	cases := map[string]struct {
		args []string
		want int
	}{
		"sound":                 {[]string{"testdata/platform-base.json"}, 0},
		"differences alone":     {[]string{"testdata/platform-sound.json", "--base", "testdata/platform-base.json"}, 0},
		"findings":              {[]string{"testdata/platform-draft.json"}, 1},
		"findings of the base":  {[]string{"testdata/platform-sound.json", "--base", "testdata/platform-draft.json"}, 0},
		"version not higher":    {[]string{"testdata/platform-base.json", "--base", "testdata/platform-base.json"}, 1},
		"no such file":          {[]string{"testdata/none.json"}, 2},
		"no such base":          {[]string{"testdata/platform-base.json", "--base", "testdata/none.json"}, 2},
		"file of another kind":  {[]string{"../../../examples/fleet.yaml"}, 2},
		"base of another kind":  {[]string{"testdata/platform-base.json", "--base", "../../../examples/fleet.yaml"}, 2},
		"findings and bad base": {[]string{"testdata/platform-draft.json", "--base", "testdata/none.json"}, 2},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, code := run(t, append([]string{"platform"}, c.args...)...)
			assert.Equal(t, code, c.want)
		})
	}
}

// Guards against changes of the report that nobody intended, and against whole keys in it.
func TestCheckPlatformReport(t *testing.T) {
	output, _ := run(t, "platform", "testdata/platform-draft.json", "--base", "testdata/platform-base.json")
	golden.Assert(t, output, "platform-report.golden")

	output, _ = run(t, "platform", "testdata/platform-sound.json", "--base", "testdata/platform-base.json")
	assert.Equal(t, output, "changed: route \"quote\": timeout: 15s -> 20s\ntestdata/platform-sound.json has no findings\n")
}
