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

// violated returns the name of the invariant that the function violates.
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

// Guards against assertions that no longer notice what they are for.
func TestChecks(t *testing.T) {
	server := fleet.Server{ID: "a", Service: "s"}

	cases := map[string]struct {
		repeat catalog.RetryPolicy
		change func(j *job, server *fleet.Server)
		want   string
	}{
		"first send":         {change: func(*job, *fleet.Server) {}},
		"repeat":             {repeat: catalog.Idempotent, change: func(j *job, _ *fleet.Server) { j.ran = 1 }},
		"continued":          {repeat: catalog.Resumable, change: func(j *job, _ *fleet.Server) { j.ran, j.begun = 1, true }},
		"order sent again":   {change: func(j *job, _ *fleet.Server) { j.ran = 1 }, want: "send.once"},
		"too many runs":      {repeat: catalog.Idempotent, change: func(j *job, _ *fleet.Server) { j.ran = 2 }, want: "send.attempts"},
		"answer begun":       {repeat: catalog.Idempotent, change: func(j *job, _ *fleet.Server) { j.begun = true }, want: "send.begun"},
		"same server again":  {change: func(j *job, _ *fleet.Server) { j.passed["a"] = true }, want: "send.passed"},
		"another service":    {change: func(_ *job, s *fleet.Server) { s.Service = "t" }, want: "send.server"},
		"a leaving server":   {change: func(_ *job, s *fleet.Server) { s.Draining = true }, want: "send.server"},
		"without an account": {change: func(j *job, _ *fleet.Server) { j.config = keyed() }, want: "send.account"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j, to := testJob(c.repeat), server
			c.change(j, &to)
			assert.Equal(t, violated(t, func() { checkSend(j, to) }), c.want)
		})
	}
}

func keyed() *catalog.Config {
	return catalog.New(1, nil, nil, []catalog.Account{{Name: "acme", Keys: []string{"k"}}}, catalog.Limits{})
}

// Guards against assertions on refusals that no longer notice a run.
func TestChecksOfRefusals(t *testing.T) {
	j := testJob(catalog.AtMostOnce)
	refused := message.Refused{Err: fault.New(fault.NoServer, "not here")}

	assert.Equal(t, violated(t, func() { checkRefused(j, 0, refused) }), "")
	assert.Equal(t, violated(t, func() { checkRefused(j, 200, message.Completed{}) }), "")
	assert.Equal(t, violated(t, func() { checkRefused(j, 200, refused) }), "refusal.answered")

	assert.Equal(t, violated(t, func() { checkError(j, refused.Err) }), "")

	j.ran = 1
	assert.Equal(t, violated(t, func() { checkError(j, refused.Err) }), "refusal.ran")
}
