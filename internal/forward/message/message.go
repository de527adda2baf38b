// Package message holds the requests that clients send and the answers of backend servers, free of any wire format.
package message

import "time"

// NoEventID is the value of Request.LastEventID for a stream that starts at its first event.
const NoEventID = -1

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// PromptPart is one piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Request is one attempt of a client.
type Request struct {
	// ID is the client's id of the attempt; each attempt has its own.
	ID     string
	Method string
	// Target is the request target exactly as the client sent it.
	Target string
	Host   string
	// Path is the path of the target, for the choice of the route.
	Path string
	// Key is the client's key; it is never sent on.
	Key string
	// Headers are passed on unchanged.
	Headers []Header
	Body    []byte
	// Model and Adapter are empty for requests to plain services; Adapter is empty for the base model.
	Model   string
	Adapter string
	// PromptTokens is the size of the prompt, and MaxOutputTokens limits the output; both are 0 if the client does not state them.
	PromptTokens    int64
	MaxOutputTokens int64
	PromptParts     []PromptPart
	// LastEventID is the id of the last event that the client has received, or NoEventID.
	LastEventID int64
	// Timeout is how long the client waits for the response; 0 if the client does not state it.
	Timeout time.Duration
	// Arrived is when the request head was read.
	Arrived time.Time
}

// Delivery is a request as it is sent to one backend server.
type Delivery struct {
	*Request
	// Instance is the id of the server that the request is meant for; any other server rejects it.
	Instance string
	Account  string
	// MinVersion is the oldest adapter version on which the request may run; 0 for any.
	MinVersion int64
	// Deadline is when the client stops waiting.
	Deadline time.Time
	// Objective is the time within which the answer, or the first event of a stream, is on time.
	Objective time.Duration
	// ReadTimeout bounds the wait for the response head and for each piece of the body; 0 means no limit.
	ReadTimeout time.Duration
	// MaxWait is how long the request may wait in the queue of an agent before it is refused.
	MaxWait time.Duration
	// Urgency orders waiting requests; 0 is first.
	Urgency int
}

// Head is the start of a backend server's answer.
type Head struct {
	Status  int
	Headers []Header
}
