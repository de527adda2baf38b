package session_test

import (
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/session"
)

const (
	streamBody = `{"model":"quote","prompt":"a floor","max_tokens":3,"stream":true}`
	longBody   = `{"model":"quote","prompt":"a floor","max_tokens":8,"stream":true}`
	shortBody  = `{"model":"quote","prompt":"a floor","max_tokens":1}`
	// settleTime is the time after which the processes are ready and the token shares are assigned.
	settleTime = 30 * time.Second
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// sessionTest is one session in virtual time.
type sessionTest struct {
	*session.Session
	t *testing.T
}

func (p *sessionTest) do(from, method, path, body, key string) {
	p.t.Helper()
	assert.NilError(p.t, p.Do(p.t.Context(), session.Call{From: from, Method: method, Path: path, Body: body, Key: key}, nil))
}

func (p *sessionTest) complete(body string) {
	p.t.Helper()
	p.do("caller", "POST", "/v1/completions", body, session.Secret)
}

// startStream requests a long streamed response and returns once its first line has arrived. The returned function waits
// until the response is complete.
func (p *sessionTest) startStream() (wait func()) {
	firstLine, ended := make(chan struct{}), make(chan error, 1)
	call := session.Call{From: "caller", Method: "POST", Path: "/v1/completions", Body: longBody, Key: session.Secret}

	go func() { ended <- p.Do(p.t.Context(), call, func() { close(firstLine) }) }()

	<-firstLine
	time.Sleep(100 * time.Millisecond)

	return func() { assert.NilError(p.t, <-ended) }
}

// Guards against unintended changes of the messages between caller, entry, agent and backend server over a session.
func TestSessions(t *testing.T) {
	cases := map[string]struct {
		service string
		play    func(p *sessionTest)
	}{
		"stream": {"", func(p *sessionTest) {
			p.complete(streamBody)
			p.complete(shortBody)
		}},
		"order": {"booking", func(p *sessionTest) {
			book := session.Call{
				From: "caller", Method: "POST", Path: "/booking/book", Body: `{"floor":"12x8"}`, Key: session.Secret, Idempotency: "one",
			}
			assert.NilError(p.t, p.Do(p.t.Context(), book, nil))
			assert.NilError(p.t, p.Do(p.t.Context(), book, nil))
		}},
		"refusal": {"", func(p *sessionTest) {
			p.do("caller", "POST", "/v1/completions", shortBody, "unknown")
			p.Engine.SetFaults(engine.Faults{FailingLoads: 1})
			p.complete(shortBody)
		}},
		"revocation": {"", func(p *sessionTest) {
			wait := p.startStream()
			p.do("operator", "POST", "/ops/v1/keys/"+session.KeyID+"/revoke", `{"id":"change-revoke","reason":"test"}`, session.OperatorToken)
			p.complete(shortBody)
			wait()
		}},
		"held-revocation": {"", func(p *sessionTest) {
			waitRunning := p.startStream()
			queued := make(chan error, 1)

			go func() {
				call := session.Call{From: "second caller", Method: "POST", Path: "/v1/completions", Body: shortBody, Key: session.Secret}
				queued <- p.Do(p.t.Context(), call, nil)
			}()

			synctest.Wait()
			p.BeginTableOutage()
			time.Sleep(3 * time.Second)
			p.do("operator", "POST", "/ops/v1/keys/"+session.KeyID+"/revoke", `{"id":"change-revoke","reason":"test"}`, session.OperatorToken)
			waitRunning()
			assert.NilError(p.t, <-queued)
		}},
		"entry-shutdown": {"", func(p *sessionTest) {
			wait := p.startStream()
			p.StopEntry()
			synctest.Wait()
			p.do("balancer", "GET", "/readyz", "", "")
			time.Sleep(2500 * time.Millisecond)
			p.complete(shortBody)
			wait()
			assert.NilError(p.t, p.AwaitEntry())
		}},
		"agent-shutdown": {"", func(p *sessionTest) {
			wait := p.startStream()
			p.StopAgent()
			synctest.Wait()
			p.complete(shortBody)
			wait()
			assert.NilError(p.t, p.AwaitAgent())
		}},
	}

	fleet, err := os.ReadFile("../../../examples/fleet.yaml")
	assert.NilError(t, err)

	// The engine gets a single concurrency slot, so that a second request waits in the queue.
	singleSlot := strings.NewReplacer("limit: 16", "limit: 1", "ramp: 2", "ramp: 1").Replace(string(fleet))

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &sessionTest{t: t, Session: &session.Session{Fleet: singleSlot, Account: "pistas", Service: tc.service, Model: "base"}}
				assert.NilError(t, p.Start(t.Context()))

				time.Sleep(settleTime)
				tc.play(p)
				record := p.Recorder.String()
				p.Close()
				time.Sleep(time.Minute)
				golden.Assert(t, record, name+".golden")
			})
		})
	}
}
