package entry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// violated returns the name of the invariant that the function violates; empty if there is none.
func violated(t *testing.T, check func()) (name string) {
	t.Helper()

	defer func() {
		if text, ok := recover().(string); ok {
			name, _, _ = strings.Cut(strings.TrimPrefix(text, "invariant "), ":")
		}
	}()

	check()

	return ""
}

// Guards against invariant checks that no longer detect the violation they are for.
func TestChecks(t *testing.T) {
	server := fleet.Server{ID: "a", Service: "s"}

	cases := map[string]struct {
		policy catalog.RetryPolicy
		change func(j *job, server *fleet.Server)
		want   string
	}{
		"first send":        {change: func(*job, *fleet.Server) {}},
		"retry":             {policy: catalog.Idempotent, change: func(j *job, _ *fleet.Server) { j.runs = 1 }},
		"resumed":           {policy: catalog.Resumable, change: func(j *job, _ *fleet.Server) { j.runs, j.responseStarted = 1, true }},
		"sent twice":        {change: func(j *job, _ *fleet.Server) { j.runs = 1 }, want: "send.once"},
		"too many runs":     {policy: catalog.Idempotent, change: func(j *job, _ *fleet.Server) { j.runs = 2 }, want: "send.attempts"},
		"response started":  {policy: catalog.Idempotent, change: func(j *job, _ *fleet.Server) { j.responseStarted = true }, want: "send.begun"},
		"same server again": {change: func(j *job, _ *fleet.Server) { j.excluded["a"] = true }, want: "send.passed"},
		"another service":   {change: func(_ *job, s *fleet.Server) { s.Service = "t" }, want: "send.server"},
		"draining server":   {change: func(_ *job, s *fleet.Server) { s.Draining = true }, want: "send.server"},
		"no account":        {change: func(j *job, _ *fleet.Server) { j.config = keyed() }, want: "send.account"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j, to := testJob(c.policy), server
			c.change(j, &to)
			assert.Equal(t, violated(t, func() { checkSend(j, to) }), c.want)
		})
	}
}

func keyed() *catalog.Config {
	return catalog.New(1, nil, nil, []catalog.Account{{Name: "acme", Keys: []string{"k"}}}, catalog.Limits{})
}

// Guards against checks of refusals that no longer detect that the request may have run.
func TestChecksOfRefusals(t *testing.T) {
	j := testJob(catalog.AtMostOnce)
	refused := message.Refused{Err: fault.New(fault.NoServer, "not here")}

	assert.Equal(t, violated(t, func() { checkRefused(j, 0, refused) }), "")
	assert.Equal(t, violated(t, func() { checkRefused(j, 200, message.Completed{}) }), "")
	assert.Equal(t, violated(t, func() { checkRefused(j, 200, refused) }), "refusal.answered")

	assert.Equal(t, violated(t, func() { checkError(j, refused.Err) }), "")

	j.runs = 1
	assert.Equal(t, violated(t, func() { checkError(j, refused.Err) }), "refusal.ran")
}
