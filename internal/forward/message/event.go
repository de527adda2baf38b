package message

import "github.com/chestnutbeam/chestnutbeam/internal/core/fault"

// Event is one step of an answer; it is one of the types of this file.
type Event interface {
	event()
}

// RequestSent reports that the request was sent to a backend server.
type RequestSent struct{}

// ResponseStarted carries the head of the response.
type ResponseStarted struct {
	Head Head
}

// Data is a piece of the response body.
type Data struct {
	Bytes []byte
}

// Completed reports that the whole response was received.
type Completed struct{}

// Refused reports that the request has not run and will not run at this server.
type Refused struct {
	Err *fault.Error
	// ByBackend is true if the backend server itself received and rejected the request.
	ByBackend bool
}

// Failed reports that the request may have run and that no complete response was received.
type Failed struct {
	Err *fault.Error
}

func (RequestSent) event()     {}
func (ResponseStarted) event() {}
func (Data) event()            {}
func (Completed) event()       {}
func (Refused) event()         {}
func (Failed) event()          {}
