package entry

import (
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// Usage counts the requests of client accounts that begin to run.
type Usage interface {
	// Begin counts a request that has begun to run.
	Begin(account string)
	// Send records a request that is about to be sent, and returns a function that records whether it ran, or may have run.
	Send(account string) (decide func(ran bool))
}

// countBegin counts a run of a stream, at its first event.
func (e *Entry) countBegin(j *job) {
	if e.Usage != nil && j.account.Name != "" {
		e.Usage.Begin(j.account.Name)
	}
}

// countSend records that a request is about to be sent, and returns a function to call with its outcome. A stream counts at its first event
// instead.
func (e *Entry) countSend(j *job) (decide func(last message.Event)) {
	if e.Usage == nil || j.account.Name == "" || j.route.Stream {
		return func(message.Event) {}
	}

	record := e.Usage.Send(j.account.Name)

	return func(last message.Event) {
		_, refused := last.(message.Refused)
		record(!refused)
	}
}
