// Package message defines the requests of clients and the responses of backend servers, independent of any wire format.
package message

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// NoEventID is the value of Request.LastEventID for a stream that starts at its first event.
const NoEventID = -1

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// PromptPart is one part of a prompt, which several requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Request is one attempt of a client to get a response.
type Request struct {
	// ID is the client's id of the attempt; each attempt has its own.
	ID     string
	Method string
	// Target is the request target exactly as the client sent it.
	Target string
	Host   string
	// Path is the path of the target; it selects the route.
	Path string
	// Key is the API key of the client; it is never forwarded.
	Key string
	// Headers are forwarded unchanged.
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
	// Resumes is the id of the client's attempt that brought the first event of the stream which the request takes up; empty if it takes up
	// none.
	Resumes string
	// Timeout is how long the client waits for the response; 0 if the client does not state it.
	Timeout time.Duration
	// Arrived is when the request head was received.
	Arrived time.Time
}

// Origin returns the id under which the begin of the stream is remembered: that of the attempt that brought the first event.
func (r *Request) Origin() string {
	if r.Resumes != "" {
		return r.Resumes
	}

	return r.ID
}

// TakesUp reports whether the request takes up a stream of which the client has events.
func (r *Request) TakesUp() bool {
	return r.Resumes != "" || r.LastEventID != NoEventID
}

// Delivery is a request with the parameters for sending it to one backend server.
type Delivery struct {
	*Request
	// Instance is the id of the server for which the request is intended; any other server rejects it.
	Instance string
	Account  string
	// MinVersion is the oldest adapter version on which the request may run; 0 for any.
	MinVersion int64
	// Deadline is when the client stops waiting for the response.
	Deadline time.Time
	// Objective is the latency target for the response, or for the first event of a stream.
	Objective time.Duration
	// GapTarget is the longest time between two events for which a stream is on time; 0 for none.
	GapTarget time.Duration
	// ReadTimeout bounds the wait for the response head and for each piece of the body; 0 means no limit. Only entries with earlier software
	// set it: later ones decide themselves whether a silent server is given up.
	ReadTimeout time.Duration
	// SharedParts are the ids of the prompt parts that other requests may share.
	SharedParts []string
	// MaxWait is how long the request may wait in the queue of an agent before it is refused.
	MaxWait time.Duration
	// Urgency is the priority in the queue; 0 is the most urgent.
	Urgency int
	// ServerVersion is the software version of the server, and StartedAt the start of its process in Unix milliseconds, both as it is
	// listed.
	ServerVersion string
	StartedAt     int64
	// Stream is true if the response is to be a stream of events, whatever its head states.
	Stream bool
	// Bound is true if only this process may run the request, because the client has events of its version.
	Bound bool
}

// Head is the status and the headers of a response.
type Head struct {
	Status  int
	Headers []Header
}

// IsEventStream reports whether the response is a success with a stream of server-sent events.
func (h Head) IsEventStream() bool {
	return h.Status == http.StatusOK && slices.ContainsFunc(h.Headers, func(header Header) bool {
		return strings.EqualFold(header.Name, "Content-Type") && IsEventStream(header.Value)
	})
}

// IsEventStream reports whether a content type is that of server-sent events.
func IsEventStream(contentType string) bool {
	kind, _, _ := strings.Cut(contentType, ";")

	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}
