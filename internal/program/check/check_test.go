package check_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/ops/ctl"
	"github.com/chestnutbeam/chestnutbeam/internal/program/check"
)

// Guards against example files that fail validation, and against an invalid file that passes.
func TestCheck(t *testing.T) {
	file := func(name string) *check.File { return &check.File{Path: "../../../examples/" + name} }

	cases := map[string]struct {
		args check.Args
		ok   bool
	}{
		"entry":         {check.Args{Entry: file("entry.yaml")}, true},
		"engine":        {check.Args{Agent: file("agent-engine.yaml")}, true},
		"service":       {check.Args{Agent: file("agent-service.yaml")}, true},
		"fleet":         {check.Args{Fleet: file("fleet.yaml")}, true},
		"other kind":    {check.Args{Agent: file("entry.yaml")}, false},
		"no such file":  {check.Args{Fleet: file("none.yaml")}, false},
		"no kind given": {check.Args{}, false},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer

			tc.args.Out = &out
			err := tc.args.Run(context.Background())

			if tc.ok {
				assert.NilError(t, err)
				return
			}

			var exit *ctl.ExitError

			assert.Assert(t, errors.As(err, &exit))
			assert.Equal(t, exit.Code, ctl.ExitUsage)
		})
	}
}
