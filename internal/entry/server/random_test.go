package server_test

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// TestMain sets a fixed seed, so that runs are reproducible; the flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}

	flag.Parse()
	m.Run()
}

// faults are the behaviors that may be drawn for one sending.
var faults = []behavior{
	(*agent).respond,
	refuseWith(fault.Overloaded),
	refuseWith(fault.TicketExpired),
	refuseWith(fault.InvalidRequest),
	func(a *agent, _ rpc.DRPCAgent_RunStream, _ *rpc.RunRequest) error {
		a.listener.closeConns()
		return nil
	},
	disconnectAfter(0),
	func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
		if request.GetCall() != nil {
			return a.respond(stream, request)
		}

		return disconnectAfter(1)(a, stream, request)
	},
	func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
		a.begin(request)
		return a.send(stream, request, &rpc.RunDown{Body: &rpc.RunDown_Failed{Failed: &rpc.Failed{Kind: "backend_failed"}}})
	},
}

// Guards against responses that are neither complete nor an error, against a wrong "not run" and against orders that run twice,
// for any sequence of faults.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.IntRange(0, len(faults)-1), 0, 12).Draw(rt, "faults")

		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "s1", "s2", "s3")
			e := f.start()

			for _, a := range f.agents {
				a.run = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
					next := faults[0]

					f.mu.Lock()
					if len(drawn) > 0 {
						next, drawn = faults[drawn[0]], drawn[1:]
					}
					f.mu.Unlock()

					return next(a, stream, request)
				}
			}

			for _, key := range []string{"k1", "k2"} {
				f.checkRequest(e, "/v1/completions", streamBody, key, "[DONE]")
				f.checkRequest(e, "/v1/chat/completions", chatBody, key, `"content":"plum bark lily"`)
				f.checkRequest(e, "/press/orders", orderBody, key, `{"order":`)
				f.checkRequest(e, "/press/orders", orderBody, "", `{"order":`)
			}
		})
	})
}

func (f *fleet) checkRequest(e *entry, path, body, key, complete string) {
	f.t.Helper()

	before := f.runs()
	got := e.do(f.t, "POST", path, body, "Idempotency-Key", key)
	ran := f.runs() - before

	assert.Equal(f.t, strings.Contains(got.body, complete), kindOf(got) == "", got.body)

	if strings.Contains(got.body, `"ran":"no"`) {
		assert.Equal(f.t, ran, 0, got.body)
	}

	if path == "/press/orders" {
		assert.Assert(f.t, ran <= 1, "%d runs: %s", ran, got.body)
	}

	if kindOf(got) == "" && path == "/v1/completions" {
		assert.Equal(f.t, streamText(got.body), "plum bark lily")
	}
}
