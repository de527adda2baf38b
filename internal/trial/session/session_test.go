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
	// settled is when the processes are ready and the token shares are assigned.
	settled = 30 * time.Second
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// play is one session in virtual time.
type play struct {
	*session.Session
	t *testing.T
}

func (p *play) do(from, method, path, body, key string) {
	p.t.Helper()
	assert.NilError(p.t, p.Do(p.t.Context(), session.Call{From: from, Method: method, Path: path, Body: body, Key: key}, nil))
}

func (p *play) complete(body string) {
	p.t.Helper()
	p.do("caller", "POST", "/v1/completions", body, session.Secret)
}

// stream starts a long answer and returns once its first part has arrived, with a function that waits for its end.
func (p *play) stream() (wait func()) {
	begun, ended := make(chan struct{}), make(chan error, 1)
	call := session.Call{From: "caller", Method: "POST", Path: "/v1/completions", Body: longBody, Key: session.Secret}

	go func() { ended <- p.Do(p.t.Context(), call, func() { close(begun) }) }()

	<-begun
	time.Sleep(100 * time.Millisecond)

	return func() { assert.NilError(p.t, <-ended) }
}

// Guards against a change of the messages between caller, entry, agent and backend server in whole sessions.
func TestSessions(t *testing.T) {
	cases := map[string]struct {
		service string
		play    func(p *play)
	}{
		"stream": {"", func(p *play) {
			p.complete(streamBody)
			p.complete(shortBody)
		}},
		"order": {"booking", func(p *play) {
			book := session.Call{
				From: "caller", Method: "POST", Path: "/booking/book", Body: `{"floor":"12x8"}`, Key: session.Secret, Idempotency: "one",
			}
			assert.NilError(p.t, p.Do(p.t.Context(), book, nil))
			assert.NilError(p.t, p.Do(p.t.Context(), book, nil))
		}},
		"refusal": {"", func(p *play) {
			p.do("caller", "POST", "/v1/completions", shortBody, "unknown")
			p.Engine.SetFaults(engine.Faults{FailingLoads: 1})
			p.complete(shortBody)
		}},
		"revocation": {"", func(p *play) {
			wait := p.stream()
			p.do("operator", "POST", "/ops/v1/keys/"+session.KeyID+"/revoke", `{"id":"change-revoke","reason":"test"}`, session.OperatorToken)
			p.complete(shortBody)
			wait()
		}},
		"held-revocation": {"", func(p *play) {
			waitRunning := p.stream()
			queued := make(chan error, 1)

			go func() {
				call := session.Call{From: "second caller", Method: "POST", Path: "/v1/completions", Body: shortBody, Key: session.Secret}
				queued <- p.Do(p.t.Context(), call, nil)
			}()

			synctest.Wait()
			p.TableDown()
			time.Sleep(3 * time.Second)
			p.do("operator", "POST", "/ops/v1/keys/"+session.KeyID+"/revoke", `{"id":"change-revoke","reason":"test"}`, session.OperatorToken)
			waitRunning()
			assert.NilError(p.t, <-queued)
		}},
		"entry-shutdown": {"", func(p *play) {
			wait := p.stream()
			p.StopEntry()
			synctest.Wait()
			p.do("balancer", "GET", "/readyz", "", "")
			time.Sleep(2500 * time.Millisecond)
			p.complete(shortBody)
			wait()
			assert.NilError(p.t, p.EntryEnded())
		}},
		"agent-shutdown": {"", func(p *play) {
			wait := p.stream()
			p.StopAgent()
			synctest.Wait()
			p.complete(shortBody)
			wait()
			assert.NilError(p.t, p.AgentEnded())
		}},
	}

	fleet, err := os.ReadFile("../../../examples/fleet.yaml")
	assert.NilError(t, err)

	// One place at the engine, so that a second request waits in the queue.
	narrow := strings.NewReplacer("limit: 16", "limit: 1", "ramp: 2", "ramp: 1").Replace(string(fleet))

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &play{t: t, Session: &session.Session{Fleet: narrow, Account: "pistas", Service: tc.service, Model: "base"}}
				assert.NilError(t, p.Start(t.Context()))

				time.Sleep(settled)
				tc.play(p)
				record := p.Recorder.String()
				p.Close()
				time.Sleep(time.Minute)
				golden.Assert(t, record, name+".golden")
			})
		})
	}
}
