package message

import "github.com/chestnutbeam/chestnutbeam/internal/core/fault"

// Event is one step of the processing of a request at one server; it is one of the types of this file.
type Event interface {
	event()
}

// RequestSent is the event after the request was written to a backend server.
type RequestSent struct{}

// ResponseStarted carries the head of the response.
type ResponseStarted struct {
	Head Head
	// StartedAt is the start of the process of the backend server in Unix milliseconds; 0 if it is not known.
	StartedAt int64
}

// Data is a piece of the response body.
type Data struct {
	Bytes []byte
}

// Completed is the last event of a response that was received completely.
type Completed struct{}

// Refused is the outcome of a request that has not run and will not run at this server.
type Refused struct {
	Err *fault.Error
	// ByBackend is true if the backend server itself received and rejected the request.
	ByBackend bool
}

// Failed is the outcome of a request that may have run and to which no complete response was received.
type Failed struct {
	Err *fault.Error
}

func (RequestSent) event()     {}
func (ResponseStarted) event() {}
func (Data) event()            {}
func (Completed) event()       {}
func (Refused) event()         {}
func (Failed) event()          {}
