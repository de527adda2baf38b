package server_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
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

				tried := f.sum(func(a *agent) int { return min(len(a.requests), 1) })
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

// once runs a script for the first request only.
func once(first script) script {
	return func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
		a.run = nil
		return first(a, stream, request)
	}
}

// cutAfter sends the first chunks and then ends the connection without an end marker.
func cutAfter(chunks int64) script {
	return func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
		a.begin(request)

		for seq := range chunks {
			if err := a.chunk(stream, request, seq); err != nil {
				return err
			}
		}

		a.listener.cutConns()

		return nil
	}
}

// Guards against answers that are mixed up, repeated or not whole: the caller gets the whole answer or an error.
func TestAnswersOutOfOrder(t *testing.T) {
	const whole = "plum bark lily"

	cases := map[string]struct {
		run script
		// text is what the caller gets; kind is the error after it.
		text string
		kind fault.Kind
	}{
		"crossed": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			other := &rpc.RunRequest{RequestId: "run-of-another", Work: request.Work}
			_ = a.chunk(stream, other, 0)
			_ = a.finish(stream, other)

			return a.answer(stream, request)
		}, text: whole},
		"duplicated": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			_ = a.chunk(stream, request, 0)

			return a.answer(stream, request)
		}, text: whole},
		"cut, resumed": {run: once(cutAfter(2)), text: whole},
		"cut, not resumable": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			if request.Resume > 0 {
				return a.refuse(stream, request, fault.NotFound)
			}

			return cutAfter(2)(a, stream, request)
		}, text: "plum bark", kind: fault.Interrupted},
		"gap": {run: once(func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			_ = a.chunk(stream, request, 0)
			_ = a.chunk(stream, request, 2)

			return a.finish(stream, request)
		}), text: whole},
		"end too early": {run: once(func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			_ = a.chunk(stream, request, 0)

			return a.finish(stream, request)
		}), text: whole},
		"another process": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			if request.Resume > 0 {
				return a.answer(stream, request)
			}

			a.boot = "boot-2"

			return cutAfter(1)(a, stream, request)
		}, text: "plum", kind: fault.Interrupted},
		"another adapter": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			request.GetGenerate().Version = "9"

			return a.answer(stream, request)
		}, kind: fault.BackendFailed},
		"failed": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			_ = a.chunk(stream, request, 0)

			return a.send(stream, request, &rpc.RunDown{Body: &rpc.RunDown_Failed{Failed: &rpc.Failed{Kind: "backend_failed"}}})
		}, text: "plum", kind: fault.BackendFailed},
		"lost before output": {run: cutAfter(0), kind: fault.OutcomeUnknown},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "s1")
				f.agents[0].run = tc.run

				got := f.start().do(t, "POST", "/v1/completions", streamBody)
				assert.Equal(t, streamText(got.body), tc.text, got.body)
				assert.Equal(t, kindOf(got), tc.kind, got.body)
				assert.Equal(t, strings.Contains(got.body, "[DONE]"), tc.kind == "")
				assert.Equal(t, strings.Contains(got.body, "event: error"), tc.kind != "" && tc.text != "")
			})
		})
	}
}

// streamText joins the texts of a stream.
func streamText(body string) string {
	var text strings.Builder

	for part := range strings.SplitSeq(body, `"text":"`) {
		word, _, _ := strings.Cut(part, `"`)
		if !strings.HasPrefix(part, "data:") && !strings.HasPrefix(part, "{") {
			text.WriteString(word)
		}
	}

	return text.String()
}

// Guards against idempotent work that fails with the agent that was running it, although nothing had been sent.
func TestAgentKilledAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1", "s2")

		for _, a := range f.agents {
			a.run = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
				if f.runs() > 0 {
					return a.answer(stream, request)
				}

				defer a.listener.cut()

				return cutAfter(1)(a, stream, request)
			}
		}

		got := f.start().do(t, "POST", "/v1/chat/completions", chatBody)
		assert.Equal(t, got.status, 200, got.body)
		assert.Assert(t, strings.Contains(got.body, `"content":"plum bark lily"`), got.body)
		assert.Equal(t, f.runs(), 2)
	})
}

// Guards against a refusal that claims "not run" after another server may have run the request.
func TestRefusalAfterLossIsNotNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1", "s2")

		for _, a := range f.agents {
			a.run = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
				if f.runs() > 0 {
					return a.refuse(stream, request, fault.Overloaded)
				}

				return cutAfter(0)(a, stream, request)
			}
		}

		got := f.start().do(t, "POST", "/v1/chat/completions", chatBody)
		assert.Equal(t, kindOf(got), fault.OutcomeUnknown, got.body)
		assert.Assert(t, strings.Contains(got.body, `"ran":"unknown"`), got.body)
	})
}

// Guards against requests that wait for a frozen agent until their deadline while another server is idle.
func TestFrozenAgent(t *testing.T) {
	cases := map[string]int{"before contact": 0, "with a valid ticket": 1}

	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "s1", "s2")
				e := f.start()

				for range before {
					e.do(t, "POST", "/v1/chat/completions", chatBody)
				}

				thaw := make(chan struct{})
				defer close(thaw)

				frozen := f.agents[0]
				if before > 0 && f.agents[1].runs > 0 {
					frozen = f.agents[1]
				}

				frozen.mu.Lock()
				frozen.frozen = thaw
				frozen.mu.Unlock()

				begin := time.Now()

				for range 4 {
					got := e.do(t, "POST", "/v1/chat/completions", chatBody)
					assert.Equal(t, got.status, 200, got.body)
				}

				assert.Assert(t, time.Since(begin) < 10*time.Second, "%s", time.Since(begin))
			})
		})
	}
}

// Guards against a ticket lapse that refuses a request or that sends one under checks which no longer hold.
func TestExpiredTicket(t *testing.T) {
	expire := func(f *fleet) script {
		return once(func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			f.mu.Lock()
			f.revoked = f.stale
			f.mu.Unlock()

			return a.refuse(stream, request, fault.TicketExpired)
		})
	}

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		f.agents[0].run = expire(f)

		got := e.do(t, "POST", "/v1/chat/completions", chatBody)
		assert.Equal(t, got.status, 200, got.body)
		assert.Equal(t, len(f.agents[0].requests), 2)

		f.stale = true
		f.agents[0].run = expire(f)

		got = e.do(t, "POST", "/v1/chat/completions", chatBody)
		assert.Equal(t, kindOf(got), fault.KeyRevoked, got.body)
		assert.Equal(t, len(f.agents[0].requests), 3)
	})
}

// Guards against a backend server that works for a caller who has gone, and against charging for that output.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		f.agents[0].run = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			a.begin(request)
			_ = a.chunk(stream, request, 0)
			<-stream.Context().Done()

			return nil
		}

		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()

		_, err := e.try(ctx, "POST", "/v1/completions", streamBody)
		assert.ErrorIs(t, err, context.DeadlineExceeded)

		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, f.agents[0].cancels, 1)
		assert.DeepEqual(t, f.unused, []int64{15})
	})
}

// Guards against retries that multiply the load when every server refuses.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1", "s2", "s3", "s4")
		e := f.start()

		for _, a := range f.agents {
			a.run = refusing(fault.Overloaded)
		}

		e.do(t, "POST", "/v1/chat/completions", chatBody)
		assert.Equal(t, f.sent(), 3, "one request")

		for range 20 {
			e.do(t, "POST", "/v1/chat/completions", chatBody)
		}

		// 21 requests, and 10 retries and 10% of the requests.
		assert.Equal(t, f.sent(), 21+13)
	})
}

// Guards against work that starts in a failure domain which was taken out of service while the entry waited for a ticket.
func TestDomainOutBeforeResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		f.agents[0].run = once(func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			f.mu.Lock()
			changed := *f.doc
			changed.Domains = map[string]document.Domain{"a": {Out: true}}
			f.doc = &changed
			f.mu.Unlock()
			time.Sleep(2 * time.Second)

			return a.refuse(stream, request, fault.TicketExpired)
		})

		got := e.do(t, "POST", "/v1/chat/completions", chatBody)
		assert.Equal(t, kindOf(got), fault.Draining, got.body)
		assert.Equal(t, len(f.agents[0].requests), 1)
	})
}
