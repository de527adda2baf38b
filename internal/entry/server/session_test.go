package server_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

var randomID = regexp.MustCompile(`req-[0-9a-f-]{36}`)

// session performs requests and records them with their responses.
type session struct {
	t    *testing.T
	f    *fleet
	e    *entry
	text strings.Builder
}

func (s *session) do(method, path, body string, headers ...string) {
	got := s.e.do(s.t, method, path, body, headers...)

	s.text.WriteString("> " + method + " " + path + "\n")

	for i := 0; i+1 < len(headers); i += 2 {
		s.text.WriteString("> " + headers[i] + ": " + headers[i+1] + "\n")
	}

	s.text.WriteString("> " + body + "\n< " + http.StatusText(got.status) + "\n")

	lines := make([]string, 0, len(got.header))
	for name, values := range got.header {
		lines = append(lines, "< "+name+": "+strings.Join(values, ", ")+"\n")
	}

	slices.Sort(lines)
	s.text.WriteString(strings.Join(lines, "") + strings.TrimSuffix(got.body, "\n") + "\n\n")
}

// Guards against a change in the responses of complete sessions: streams, orders and refusals.
func TestSessions(t *testing.T) {
	cases := map[string]struct {
		run  behavior
		play func(s *session)
	}{
		"stream": {nil, func(s *session) {
			s.do("GET", "/v1/models", "")
			s.do("POST", "/v1/completions", streamBody)
			s.do("POST", "/v1/chat/completions", strings.Replace(chatBody, `"max`, `"stream":true,"max`, 1))
			s.do("POST", "/v1/chat/completions", chatBody)
			s.do("POST", "/v1/completions", `{"model":"quotes","prompt":"a floor"}`)
		}},
		"cut-stream": {func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			a.boot += "+"
			return disconnectAfter(2)(a, stream, request)
		}, func(s *session) {
			s.do("POST", "/v1/completions", streamBody)
		}},
		"order": {nil, func(s *session) {
			s.do("POST", "/press/orders", orderBody, "Idempotency-Key", "k-1")
			s.do("POST", "/press/orders", orderBody, "Idempotency-Key", "k-1")
			s.do("POST", "/press/orders", `{"plates":4}`, "Idempotency-Key", "k-1")
		}},
		"refusal": {refuseWith(fault.Overloaded), func(s *session) {
			s.do("POST", "/v1/chat/completions", chatBody)
			s.do("POST", "/v1/chat/completions", chatBody, "Authorization", "Bearer another")
			s.do("POST", "/v1/chat/completions", chatBody, "Authorization", "")
			s.do("POST", "/v1/chat/completions", `{"model":"unknown","messages":[{"role":"user","content":"a"}]}`)
			s.do("DELETE", "/nowhere", "")

			s.f.rateLimited = true
			s.do("POST", "/v1/chat/completions", chatBody)

			s.f.debitPanics = true
			s.do("POST", "/v1/chat/completions", chatBody)
		}},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "s1")
				f.agents[0].run = tc.run
				s := &session{t: t, f: f, e: f.start()}

				tc.play(s)
				golden.Assert(t, randomID.ReplaceAllString(s.text.String(), "req-ID"), name+".golden")
			})
		})
	}
}

// Guards against invalid input that is run, or whose error does not name the field.
func TestInputIsChecked(t *testing.T) {
	chat := func(extra string) string {
		return `{"model":"quotes","messages":[{"role":"user","content":"a"}]` + extra + `}`
	}

	cases := map[string]struct {
		body  string
		kind  fault.Kind
		param string
	}{
		"not JSON":            {`{`, fault.InvalidRequest, ""},
		"no model":            {`{"messages":[]}`, fault.InvalidRequest, "model"},
		"no messages":         {`{"model":"quotes"}`, fault.InvalidRequest, "messages"},
		"unknown role":        {`{"model":"quotes","messages":[{"role":"x","content":"a"}]}`, fault.InvalidRequest, "messages.role"},
		"wrong type":          {chat(`,"max_tokens":"ten"`), fault.InvalidRequest, "max_tokens"},
		"no output":           {chat(`,"max_tokens":0`), fault.InvalidRequest, "max_tokens"},
		"no output, new name": {chat(`,"max_completion_tokens":-1`), fault.InvalidRequest, "max_completion_tokens"},
		"several choices":     {chat(`,"n":2`), fault.InvalidRequest, "n"},
		"temperature":         {chat(`,"temperature":2.5`), fault.InvalidRequest, "temperature"},
		"stops":               {chat(`,"stop":["1","2","3","4","5"]`), fault.InvalidRequest, "stop"},
		"beyond the context":  {chat(`,"max_tokens":5000`), fault.InvalidRequest, "max_tokens"},
		"beyond the burst":    {chat(`,"max_tokens":1001`), fault.TooLarge, ""},
		"body too large":      {chat(`,"x":"` + strings.Repeat("x", 1<<16) + `"`), fault.TooLarge, ""},
		"unknown version":     {strings.Replace(chat(``), "quotes", "quotes@3", 1), fault.UnknownVersion, "model"},
		"unknown adapter":     {strings.Replace(chat(``), "quotes", "other", 1), fault.UnknownAdapter, "model"},
	}

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()

		for name, tc := range cases {
			got := e.do(t, "POST", "/v1/chat/completions", tc.body)
			assert.Equal(t, kindOf(got), tc.kind, "%s: %s", name, got.body)
			assert.Assert(t, tc.param == "" || strings.Contains(got.body, `"param":"`+tc.param+`"`), "%s: %s", name, got.body)
		}

		got := e.do(t, "POST", "/v1/chat/completions", chatBody, "X-Timeout", "soon")
		assert.Assert(t, strings.Contains(got.body, `"param":"X-Timeout"`), got.body)

		many := make([]string, 0, 140)
		for n := range 70 {
			many = append(many, "X-"+strings.Repeat("n", n+1), "1")
		}

		assert.Equal(t, kindOf(e.do(t, "POST", "/v1/chat/completions", chatBody, many...)), fault.TooLarge)
		assert.Equal(t, f.runs(), 0)
		assert.Equal(t, f.debited, int64(0))
	})
}

// Guards against a client account that uses a route or an adapter that it may not use.
func TestPermissions(t *testing.T) {
	cases := map[string]struct {
		method, path, body string
		kind               fault.Kind
	}{
		"route":            {"POST", "/press/orders", orderBody, fault.Forbidden},
		"adapter":          {"POST", "/v1/completions", `{"model":"private","prompt":"a"}`, fault.UnknownAdapter},
		"method":           {"PUT", "/dates/may", "", fault.NotFound},
		"path":             {"GET", "/dates/../press/orders", "", fault.InvalidRequest},
		"path, escaped":    {"GET", "/dates/%2e%2e/press/orders", "", fault.InvalidRequest},
		"allowed":          {"POST", "/v1/completions", `{"model":"quotes","prompt":"a"}`, ""},
		"open to everyone": {"GET", "/dates/may", "", ""},
	}

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		f.doc.Accounts["pistas"] = document.Account{Rate: 1, Burst: 1000, Routes: []string{"completion"}}
		f.doc.Adapters["private"] = document.Adapter{Model: "base", Versions: []string{"1"}, Pin: "1", Accounts: []string{"trust"}}
		e := f.start()

		for name, tc := range cases {
			got := e.do(t, tc.method, tc.path, tc.body)
			assert.Equal(t, kindOf(got), tc.kind, "%s: %s", name, got.body)
		}

		assert.Equal(t, f.runs(), 2)
	})
}

// Guards against requests with a key under an unconfirmed configuration, and against open routes that fail because of it.
func TestStaleConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()

		f.mu.Lock()
		f.unconfirmed = true
		f.mu.Unlock()
		time.Sleep(6 * time.Second)

		assert.Equal(t, kindOf(e.do(t, "POST", "/v1/chat/completions", chatBody)), fault.StaleConfig)
		assert.Equal(t, e.do(t, "GET", "/dates/may", "").status, 201)
	})
}

// Guards against a request that outlives its deadline at a paused agent.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		e.do(t, "POST", "/v1/chat/completions", chatBody)

		resume := make(chan struct{})
		defer close(resume)

		f.agents[0].mu.Lock()
		f.agents[0].paused = resume
		f.agents[0].mu.Unlock()

		startTime := time.Now()
		got := e.do(t, "POST", "/v1/chat/completions", chatBody, "X-Timeout", "1500ms")
		assert.Equal(t, kindOf(got), fault.DeadlineExceeded, got.body)
		assert.Equal(t, time.Since(startTime), 1500*time.Millisecond)
	})
}

// Guards against a caller that does not read its response or does not send its body, and so occupies a slot of a backend server
// or memory.
func TestSlowCaller(t *testing.T) {
	const head = "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + apiKey + "\r\n"

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		f.agents[0].run = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			_ = a.chunk(stream, request, 0)
			<-stream.Context().Done()

			return nil
		}

		nonReader, err := e.dial()
		assert.NilError(t, err)

		_, err = io.WriteString(nonReader, head+"Content-Length: 93\r\n\r\n"+streamBody)
		assert.NilError(t, err)

		nonSender, err := e.dial()
		assert.NilError(t, err)

		_, err = io.WriteString(nonSender, head+"Content-Length: 93\r\n\r\n{")
		assert.NilError(t, err)

		startTime := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(nonSender), nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, 400)
		assert.Equal(t, time.Since(startTime), 10*time.Second)

		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, f.agents[0].cancels, 1)
	})
}

// Guards against an entry that reports ready before it knows the holders of token shares, and so refuses every charged request.
func TestReadyNeedsShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		f.needsShares = true
		e := f.start()
		assert.Equal(t, e.do(t, "GET", "/readyz", "").status, 503)

		e.board.Shares.Set(map[string]board.Assignment{})
		synctest.Wait()
		assert.Equal(t, e.do(t, "GET", "/readyz", "").status, 200)
	})
}

// Guards against a shutdown that interrupts a stream, accepts new requests or reports ready.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		f.agents[0].run = once(func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			_ = a.chunk(stream, request, 0)
			time.Sleep(10 * time.Second)

			return a.respond(stream, request)
		})

		running := make(chan reply, 1)

		go func() {
			got, _ := e.try(context.WithoutCancel(t.Context()), "POST", "/v1/completions", streamBody)
			running <- got
		}()

		synctest.Wait()
		assert.Equal(t, e.do(t, "GET", "/readyz", "").status, 200)

		e.stop()
		synctest.Wait()
		assert.Equal(t, e.do(t, "GET", "/readyz", "").status, 503)
		assert.Equal(t, e.do(t, "POST", "/v1/chat/completions", chatBody).status, 200, "the entry reports not ready before it refuses requests")

		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, kindOf(e.do(t, "POST", "/v1/chat/completions", chatBody)), fault.Draining)
		time.Sleep(2 * time.Second)

		_, err := e.try(t.Context(), "POST", "/v1/chat/completions", chatBody)
		assert.Assert(t, err != nil)

		got := <-running
		assert.Assert(t, strings.HasSuffix(got.body, "data: [DONE]\n\n"), got.body)
		assert.NilError(t, <-e.ended)
	})
}
