package entry

import (
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// checkSend checks what must hold before a request is sent to a server.
func checkSend(j *job, server fleet.Server) {
	id := j.request.ID

	invariant.Check(j.ran == 0 || j.route.RetryPolicy != catalog.AtMostOnce, "send.once", "request %s may have run and is sent again", id)
	invariant.Check(j.ran < max(j.route.MaxAttempts, 1), "send.attempts", "request %s may have run at %d servers", id, j.ran)
	invariant.Check(!j.begun || j.route.RetryPolicy == catalog.Resumable, "send.begun", "request %s is sent again after its answer has begun", id)
	invariant.Check(!j.passed[server.ID], "send.passed", "request %s goes to %s again", id, server.ID)
	invariant.Check(server.Service == j.service.Name && !server.Draining, "send.server", "request %s goes to %s of service %s", id, server.ID, server.Service)
	invariant.Check(j.account.Name != "" || j.route.Public || !j.config.RequiresKeys(), "send.account", "request %s has no client account", id)
}

// checkRefused checks that a server that refused a request has not answered it.
func checkRefused(j *job, status int, last message.Event) {
	_, refused := last.(message.Refused)
	invariant.Check(!refused || status == 0, "refusal.answered", "request %s was refused after an answer with status %d", j.request.ID, status)
}

// checkError checks the error that a client gets.
func checkError(j *job, err *fault.Error) {
	invariant.Check(j.ran == 0 || err.Kind.Answer().Ran != fault.RanNo, "refusal.ran", "request %s may have run and is refused with %s", j.request.ID, err.Kind)
}
