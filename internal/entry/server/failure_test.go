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

// behavior replaces the handling of requests of a fake agent.
type behavior = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error

func refuseWith(kind fault.Kind) behavior {
	return func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
		return a.refuse(stream, request, kind)
	}
}

// Guards against a request that fails after a refusal by one server although another could serve it, against a retry at another
// server after a refusal because of the request itself, and against a charge for a refused request.
func TestRefusedRequestsAreSentToAnotherServer(t *testing.T) {
	cases := map[string]struct {
		kind    fault.Kind
		retried bool
	}{
		"overloaded":          {fault.Overloaded, true},
		"cold":                {fault.Cold, true},
		"draining":            {fault.Draining, true},
		"adapter unavailable": {fault.AdapterUnavailable, true},
		"boot id changed":     {fault.BootChanged, true},
		"stale configuration": {fault.StaleConfig, true},
		"expired ticket":      {fault.TicketExpired, true},
		"revoked key":         {fault.KeyRevoked, false},
		"bad request":         {fault.InvalidRequest, false},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "s1", "s2")
				for _, a := range f.agents {
					a.run = refuseWith(tc.kind)
				}

				got := f.start().do(t, "POST", "/v1/chat/completions", chatBody)
				assert.Equal(t, kindOf(got), tc.kind)
				assert.Assert(t, strings.Contains(got.body, `"ran":"no"`), got.body)
				assert.Equal(t, f.refunds[0], f.debited)

				tried := f.sum(func(a *agent) int { return min(len(a.requests), 1) })
				assert.Equal(t, tried == 2, tc.retried)
			})
		})
	}
}

// Guards against requests that fail because of a killed agent that had not received them.
func TestAgentKilledBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1", "s2")
		e := f.start()
		f.agents[0].listener.kill()

		for range 5 {
			got := e.do(t, "POST", "/v1/chat/completions", chatBody)
			assert.Equal(t, got.status, 200, got.body)
		}

		assert.Equal(t, f.agents[1].runs, 5)
	})
}

// once applies a behavior to the first request only.
func once(first behavior) behavior {
	return func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
		a.run = nil
		return first(a, stream, request)
	}
}

// disconnectAfter sends the first chunks and then closes the connection without an end marker.
func disconnectAfter(chunks int64) behavior {
	return func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
		a.begin(request)

		for seq := range chunks {
			if err := a.chunk(stream, request, seq); err != nil {
				return err
			}
		}

		a.listener.closeConns()

		return nil
	}
}

// Guards against wrong or incomplete output after a broken response, such as one with chunks of another request or adapter, with
// duplicate or missing chunks, or from an agent whose connection is lost: the caller gets the complete response or an error.
func TestBrokenResponses(t *testing.T) {
	const fullText = "plum bark lily"

	cases := map[string]struct {
		run behavior
		// text is what the caller gets; kind is the error after it.
		text string
		kind fault.Kind
	}{
		"chunks of another request": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			other := &rpc.RunRequest{RequestId: "run-of-another", Work: request.Work}
			_ = a.chunk(stream, other, 0)
			_ = a.finish(stream, other)

			return a.respond(stream, request)
		}, text: fullText},
		"duplicate chunk": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			_ = a.chunk(stream, request, 0)

			return a.respond(stream, request)
		}, text: fullText},
		"connection lost, resumed": {run: once(disconnectAfter(2)), text: fullText},
		"connection lost, not resumable": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			if request.Resume > 0 {
				return a.refuse(stream, request, fault.NotFound)
			}

			return disconnectAfter(2)(a, stream, request)
		}, text: "plum bark", kind: fault.Interrupted},
		"missing chunk": {run: once(func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			_ = a.chunk(stream, request, 0)
			_ = a.chunk(stream, request, 2)

			return a.finish(stream, request)
		}), text: fullText},
		"early end": {run: once(func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			_ = a.chunk(stream, request, 0)

			return a.finish(stream, request)
		}), text: fullText},
		"agent restarted": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			if request.Resume > 0 {
				return a.respond(stream, request)
			}

			a.boot = "boot-2"

			return disconnectAfter(1)(a, stream, request)
		}, text: "plum", kind: fault.Interrupted},
		"another adapter": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			request.GetGenerate().Version = "9"

			return a.respond(stream, request)
		}, kind: fault.BackendFailed},
		"failed": {run: func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			_ = a.chunk(stream, request, 0)

			return a.send(stream, request, &rpc.RunDown{Body: &rpc.RunDown_Failed{Failed: &rpc.Failed{Kind: "backend_failed"}}})
		}, text: "plum", kind: fault.BackendFailed},
		"lost before output": {run: disconnectAfter(0), kind: fault.OutcomeUnknown},
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
		chunkText, _, _ := strings.Cut(part, `"`)
		if !strings.HasPrefix(part, "data:") && !strings.HasPrefix(part, "{") {
			text.WriteString(chunkText)
		}
	}

	return text.String()
}

// Guards against an idempotent request that fails when its agent is killed although nothing was sent to the caller yet.
func TestAgentKilledAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1", "s2")

		for _, a := range f.agents {
			a.run = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
				if f.runs() > 0 {
					return a.respond(stream, request)
				}

				defer a.listener.kill()

				return disconnectAfter(1)(a, stream, request)
			}
		}

		got := f.start().do(t, "POST", "/v1/chat/completions", chatBody)
		assert.Equal(t, got.status, 200, got.body)
		assert.Assert(t, strings.Contains(got.body, `"content":"plum bark lily"`), got.body)
		assert.Equal(t, f.runs(), 2)
	})
}

// Guards against an error that states that the request was not run, because the last server refused it, although an earlier one
// may have run it.
func TestRefusalAfterLossReportsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1", "s2")

		for _, a := range f.agents {
			a.run = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
				if f.runs() > 0 {
					return a.refuse(stream, request, fault.Overloaded)
				}

				return disconnectAfter(0)(a, stream, request)
			}
		}

		got := f.start().do(t, "POST", "/v1/chat/completions", chatBody)
		assert.Equal(t, kindOf(got), fault.OutcomeUnknown, got.body)
		assert.Assert(t, strings.Contains(got.body, `"ran":"unknown"`), got.body)
	})
}

// Guards against requests that wait for a paused agent until their deadline while another server is idle.
func TestPausedAgent(t *testing.T) {
	cases := map[string]int{"without a ticket": 0, "with a valid ticket": 1}

	for name, earlierRequests := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "s1", "s2")
				e := f.start()

				for range earlierRequests {
					e.do(t, "POST", "/v1/chat/completions", chatBody)
				}

				resume := make(chan struct{})
				defer close(resume)

				pausedAgent := f.agents[0]
				if earlierRequests > 0 && f.agents[1].runs > 0 {
					pausedAgent = f.agents[1]
				}

				pausedAgent.mu.Lock()
				pausedAgent.paused = resume
				pausedAgent.mu.Unlock()

				startTime := time.Now()

				for range 4 {
					got := e.do(t, "POST", "/v1/chat/completions", chatBody)
					assert.Equal(t, got.status, 200, got.body)
				}

				// Each of the four requests has a timeout of 20 s.
				assert.Assert(t, time.Since(startTime) < 10*time.Second, "%s", time.Since(startTime))
			})
		})
	}
}

// Guards against a request that fails because its agent is paused for a while, although no other server can run it.
func TestPausedAgentIsKeptWhileNoOtherCanTakeOver(t *testing.T) {
	cases := map[string]struct {
		body string
		// chunks is the number of chunks before the pause.
		chunks int64
	}{
		"before the response":        {body: chatBody},
		"in a response":              {body: chatBody, chunks: 1},
		"in a stream":                {body: streamBody, chunks: 1},
		"before a streamed response": {body: streamBody},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "s1")
				e := f.start()
				e.do(t, "POST", "/v1/chat/completions", chatBody)

				f.agents[0].run = once(func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
					for seq := range tc.chunks {
						if err := a.chunk(stream, request, seq); err != nil {
							return err
						}
					}

					a.pauseFor(8 * time.Second)
					a.waitWhilePaused()

					for seq := tc.chunks; seq < int64(len(outputChunks)); seq++ {
						if err := a.chunk(stream, request, seq); err != nil {
							return err
						}
					}

					return a.finish(stream, request)
				})

				// All calls end before the test does.
				defer time.Sleep(10 * time.Second)

				path := "/v1/chat/completions"
				if tc.body == streamBody {
					path = "/v1/completions"
				}

				got := e.do(t, "POST", path, tc.body)
				assert.Equal(t, got.status, 200, got.body)
				assert.Equal(t, kindOf(got), fault.Kind(""), got.body)
				assert.Assert(t, strings.Contains(got.body, "lily"), got.body)
			})
		})
	}
}

// Guards against a request that fails because its ticket expired, and against a resend without the admission checks.
func TestExpiredTicket(t *testing.T) {
	// expire refuses the first request with an expired ticket. If the document is unconfirmed, it also revokes the caller's key.
	expire := func(f *fleet) behavior {
		return once(func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			f.mu.Lock()
			f.revoked = f.unconfirmed
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
		// The request is sent again with a new ticket.
		assert.Equal(t, len(f.agents[0].requests), 2)

		f.unconfirmed = true
		f.agents[0].run = expire(f)

		got = e.do(t, "POST", "/v1/chat/completions", chatBody)
		assert.Equal(t, kindOf(got), fault.KeyRevoked, got.body)
		// The request is not sent again, because its key was revoked in the meantime.
		assert.Equal(t, len(f.agents[0].requests), 3)
	})
}

// Guards against a backend server that keeps working for a caller that has disconnected, and against a charge for output that
// was not produced.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		f.agents[0].run = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			a.begin(request)
			_ = a.chunk(stream, request, 0)
			<-stream.Context().Done()

			return nil
		}

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		_, err := e.try(ctx, "POST", "/v1/completions", streamBody)
		assert.ErrorIs(t, err, context.DeadlineExceeded)

		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, f.agents[0].cancels, 1)
		// One of the 16 output tokens of the default was received.
		assert.DeepEqual(t, f.refunds, []int64{15})
	})
}

// Guards against retries that multiply the load when every server refuses.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1", "s2", "s3", "s4")
		e := f.start()

		for _, a := range f.agents {
			a.run = refuseWith(fault.Overloaded)
		}

		e.do(t, "POST", "/v1/chat/completions", chatBody)
		// A request is sent to at most retry.MaxServers servers.
		assert.Equal(t, f.sent(), 3, "one request")

		for range 20 {
			e.do(t, "POST", "/v1/chat/completions", chatBody)
		}

		// 21 requests, 10 retries that are always allowed, and retries for 10% of the requests, rounded up.
		assert.Equal(t, f.sent(), 21+13)
	})
}

// Guards against a request that starts in a failure domain that was taken out of service before the request was sent again with a
// new ticket.
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
