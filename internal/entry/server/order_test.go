package server_test

import (
	"bytes"
	"context"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const orderBody = `{"plates":3}`

// Guards against an order that is run twice, or whose outcome is reported wrongly, when the connection to its agent is lost.
func TestOrderWhoseConnectionIsLost(t *testing.T) {
	cases := map[string]struct {
		run  behavior
		kind fault.Kind
		runs int
	}{
		"before it was received": {func(a *agent, _ rpc.DRPCAgent_RunStream, _ *rpc.RunRequest) error {
			a.listener.closeConns()
			return nil
		}, fault.AttemptRefused, 0},
		"after it was done": {func(a *agent, _ rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			a.begin(request)
			a.complete(request.GetCall())
			a.listener.closeConns()

			return nil
		}, "", 1},
		"after it was done, and during the query": {func(a *agent, _ rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			a.begin(request)
			a.complete(request.GetCall())
			a.lostQueries = 2
			a.listener.closeConns()

			return nil
		}, "", 1},
		"while it ran": {func(a *agent, _ rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			a.begin(request)
			a.listener.closeConns()

			return nil
		}, fault.OutcomeUnknown, 1},
		"because the agent process ended": {func(a *agent, _ rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			a.begin(request)
			a.boot = "boot-2"
			a.listener.closeConns()

			return nil
		}, fault.OutcomeUnknown, 1},
		"refused": {refuseWith(fault.Overloaded), fault.Overloaded, 0},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "s1", "s2")
				for _, a := range f.agents {
					a.run = tc.run
				}

				got := f.start().do(t, "POST", "/press/orders", orderBody)
				assert.Equal(t, kindOf(got), tc.kind, got.body)
				assert.Equal(t, f.runs(), tc.runs)

				assert.Equal(t, f.sent(), 1, "a call without an idempotency key is sent once")
			})
		})
	}
}

// Guards against a second call through another entry that runs the order again, and against a claim that binds an order to a
// server that refused it.
func TestOrderWithKey(t *testing.T) {
	cases := map[string]struct {
		run   behavior
		first fault.Kind
	}{
		"done":    {nil, ""},
		"refused": {once(refuseWith(fault.Cold)), ""},
		"response lost": {once(func(a *agent, _ rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			a.begin(request)
			time.AfterFunc(time.Minute, func() { a.complete(request.GetCall()) })
			a.listener.closeConns()

			return nil
		}), fault.OutcomeUnknown},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "s1")
				f.agents[0].run = tc.run

				got := f.start().do(t, "POST", "/press/orders", orderBody, "Idempotency-Key", "k")

				if tc.first == "" && tc.run != nil {
					assert.Equal(t, kindOf(got), fault.Cold, "a refused order is not sent to the same server again")

					f.agents[0].mu.Lock()
					f.agents[0].boot = "boot-2"
					f.agents[0].mu.Unlock()
					time.Sleep(5 * time.Second)

					got = f.start().do(t, "POST", "/press/orders", orderBody, "Idempotency-Key", "k")
				}

				assert.Equal(t, kindOf(got), tc.first, got.body)
				time.Sleep(2 * time.Minute)

				got = f.start().do(t, "POST", "/press/orders", orderBody, "Idempotency-Key", "k")
				assert.Equal(t, got.status, 201, got.body)
				assert.Equal(t, f.runs(), 1)

				got = f.start().do(t, "POST", "/press/orders", `{"plates":4}`, "Idempotency-Key", "k")
				assert.Equal(t, kindOf(got), fault.IdempotencyMismatch)
				assert.Equal(t, f.runs(), 1)
			})
		})
	}
}

// Guards against an order that is canceled, or whose outcome is not stored, because its caller disconnected.
func TestOrderContinuesAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		f.agents[0].run = once(func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			a.begin(request)
			time.Sleep(3 * time.Second)

			return a.send(stream, request, &rpc.RunDown{Body: &rpc.RunDown_Done{Done: a.complete(request.GetCall())}})
		})

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		_, err := e.try(ctx, "POST", "/press/orders", orderBody, "Idempotency-Key", "k")
		assert.ErrorIs(t, err, context.DeadlineExceeded)

		time.Sleep(4 * time.Second)
		synctest.Wait()
		assert.Equal(t, f.agents[0].cancels, 0)

		f.agents[0].boot = "boot-2"
		got := e.do(t, "POST", "/press/orders", orderBody, "Idempotency-Key", "k")
		assert.Equal(t, got.status, 201, got.body)
		assert.Equal(t, f.runs(), 1)
	})
}

// Guards against a caller's key that reaches a backend server in any part of a request: body, query, path or header.
func TestKeyNeverReachesAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logs bytes.Buffer

		logrus.SetOutput(&logs)
		defer logrus.SetOutput(os.Stderr)

		f := newFleet(t, "s1")
		e := f.start()

		e.do(t, "POST", "/v1/chat/completions", chatBody, "Cookie", "k="+apiKey, "X-Api-Key", apiKey)
		e.do(t, "POST", "/v1/completions", `{"model":"quotes","prompt":"`+apiKey+`"}`)
		e.do(t, "POST", "/v1/completions", `{"model":"quotes","prompt":"a","stop":"`+apiKey+`"}`)
		e.do(t, "POST", "/press/orders?api_key="+apiKey+"&KEY="+apiKey, orderBody, "Accept", apiKey, "X-Key", "a", "Cookie", "b")
		e.do(t, "POST", "/press/orders?note="+apiKey, orderBody)
		e.do(t, "POST", "/press/"+apiKey, orderBody)
		e.do(t, "POST", "/press/orders", apiKey, "Idempotency-Key", apiKey)
		e.do(t, "POST", "/press/orders", orderBody, "Idempotency-Key", apiKey)
		e.do(t, "GET", "/dates/may?key="+apiKey, "")
		e.do(t, "GET", "/dates/may?note="+apiKey, "")
		e.do(t, "GET", "/dates/"+apiKey, "")
		e.do(t, "GET", "/nowhere/"+apiKey, "", "X-Timeout", apiKey)
		e.do(t, "GET", "/dates/may", "", "X-Timeout", apiKey)

		assert.Assert(t, f.runs() >= 4, "%d", f.runs())

		for _, request := range f.agents[0].requests {
			for _, header := range request.GetCall().GetHeaders() {
				assert.Assert(t, slices.Contains([]string{"Content-Type", "Accept", "Accept-Language"}, header.Name), header.Name)
			}
		}

		assert.Assert(t, !bytes.Contains(f.network.sent.Bytes(), []byte(apiKey)), "the key was sent to an agent")
		assert.Assert(t, !bytes.Contains(logs.Bytes(), []byte(apiKey)), "the key was logged")
	})
}
