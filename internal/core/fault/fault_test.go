package fault_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Guards against an error that loses its kind when it is wrapped on its way to the caller.
func TestFromErrorFindsKindInChain(t *testing.T) {
	base := fault.New(fault.RateLimited, "account is above its rate")
	cases := map[string]struct {
		err  error
		kind fault.Kind
	}{
		"direct":   {base, fault.RateLimited},
		"wrapped":  {errors.Wrap(base, "admit"), fault.RateLimited},
		"canceled": {errors.Wrap(context.Canceled, "read"), fault.Canceled},
		"deadline": {context.DeadlineExceeded, fault.DeadlineExceeded},
		"other":    {errors.New("surprise"), fault.Internal},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, fault.FromError(tc.err).Kind, tc.kind)
		})
	}
}

// Guards against an error kind whose response has no error status, type or description.
func TestEveryKindHasAResponse(t *testing.T) {
	for _, kind := range fault.Kinds() {
		response := kind.Response()
		assert.Assert(t, response.Status >= 400, "%s", kind)
		assert.Assert(t, response.Description != "", "%s", kind)
		assert.Assert(t, response.Type != "", "%s", kind)
	}
}
