package entry

import (
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// checkSend checks the invariants that hold before a request is sent to a server.
func checkSend(j *job, server fleet.Server) {
	id := j.request.ID

	invariant.Check(j.runs == 0 || j.route.RetryPolicy != catalog.AtMostOnce, "send.once", "request %s may have run and is sent again although its route allows no retry", id)
	invariant.Check(j.runs < max(j.route.MaxAttempts, 1), "send.attempts", "request %s may have run at %d servers", id, j.runs)
	invariant.Check(!j.responseStarted || j.route.RetryPolicy == catalog.Resumable, "send.begun", "request %s is sent again after its response has started", id)
	invariant.Check(!j.excluded[server.ID], "send.passed", "request %s is sent again to server %s, which failed or refused it", id, server.ID)
	invariant.Check(server.Service == j.service.Name && !server.Draining, "send.server", "request %s is sent to server %s of service %s, which is draining or of another service", id, server.ID, server.Service)
	invariant.Check(j.account.Name != "" || j.route.Public || !j.config.RequiresKeys(), "send.account", "request %s has no client account", id)
}

// checkRefused checks that a server that refused a request has sent no response to it.
func checkRefused(j *job, status int, last message.Event) {
	_, refused := last.(message.Refused)
	invariant.Check(!refused || status == 0, "refusal.answered", "request %s was refused after a response with status %d", j.request.ID, status)
}

// checkError checks that the error for the client does not claim that a request which may have run has not run.
func checkError(j *job, err *fault.Error) {
	invariant.Check(j.runs == 0 || err.Kind.Response().Ran != fault.RanNo, "refusal.ran", "request %s may have run and gets error %s, which means that it has not run", j.request.ID, err.Kind)
}
