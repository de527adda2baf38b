package server_test

import (
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

type script = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error

func refusing(kind fault.Kind) script {
	return func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
		return a.refuse(stream, request, kind)
	}
}

// Guards against a refusal by one server that ends a request which another could serve, and against a spill after a
// refusal that concerns the request itself.
func TestRefusalsSpill(t *testing.T) {
	cases := map[string]struct {
		kind   fault.Kind
		spills bool
	}{
		"overloaded":  {fault.Overloaded, true},
		"cold":        {fault.Cold, true},
		"draining":    {fault.Draining, true},
		"adapter":     {fault.AdapterUnavailable, true},
		"boot":        {fault.BootChanged, true},
		"stale":       {fault.StaleConfig, true},
		"ticket":      {fault.TicketExpired, true},
		"revoked key": {fault.KeyRevoked, false},
		"bad request": {fault.InvalidRequest, false},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "s1", "s2")
				for _, a := range f.agents {
					a.run = refusing(tc.kind)
				}

				got := f.start().do(t, "POST", "/v1/chat/completions", chatBody)
				assert.Equal(t, kindOf(got), tc.kind)
				assert.Assert(t, strings.Contains(got.body, `"ran":"no"`), got.body)
				assert.Equal(t, f.unused[0], f.debited)

				tried := 0
				for _, a := range f.agents {
					tried += min(len(a.requests), 1)
				}

				assert.Equal(t, tried == 2, tc.spills)
			})
		})
	}
}

// Guards against a killed agent that makes requests fail which had not reached it.
func TestAgentKilledBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1", "s2")
		e := f.start()
		f.agents[0].listener.cut()

		for range 5 {
			got := e.do(t, "POST", "/v1/chat/completions", chatBody)
			assert.Equal(t, got.status, 200, got.body)
		}

		assert.Equal(t, f.agents[1].runs, 5)
	})
}
