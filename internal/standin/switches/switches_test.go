package switches_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Guards against an outage or an expired request delay after which the call takes effect, against a response delay or lost
// response that prevents the effect, and against read calls that lose their response.
func TestSwitchesActBeforeOrAfterTheEffect(t *testing.T) {
	cases := map[string]struct {
		state  switches.State
		write  bool
		effect bool
		err    error
	}{
		"none":                              {switches.State{}, true, true, nil},
		"outage":                            {switches.State{Outage: true}, false, false, switches.ErrDropped},
		"lost write":                        {switches.State{LostResponses: 1}, true, true, switches.ErrDropped},
		"lost read":                         {switches.State{LostResponses: 1}, false, true, nil},
		"short request delay":               {switches.State{RequestDelayMS: 900}, true, true, nil},
		"request delay above the deadline":  {switches.State{RequestDelayMS: 1100}, true, false, context.DeadlineExceeded},
		"response delay above the deadline": {switches.State{ResponseDelayMS: 1100}, true, true, context.DeadlineExceeded},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()

				var (
					faults switches.Switches
					effect bool
				)

				faults.Set(tc.state)

				err := faults.Do(ctx, tc.write, func() error {
					effect = true
					return nil
				})
				assert.Assert(t, errors.Is(err, tc.err), "%v", err)
				assert.Equal(t, effect, tc.effect)
			})
		})
	}
}
