// Package upstream sends requests to backend servers over HTTP/1.1 and reads the responses. It never sends a request twice.
package upstream

import (
	"net/http"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/framing"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/notice"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

// Codec translates between deliveries and the headers that backend servers use.
type Codec interface {
	// Encode returns the headers of a delivery; left is the time until its deadline.
	Encode(delivery *message.Delivery, left time.Duration) []message.Header
	// Decode interprets the head of a response.
	Decode(status int, header http.Header) ResponseInfo
}

// ResponseInfo is the decoded head of a response.
type ResponseInfo struct {
	Head message.Head
	// ID is the id of the request that the response belongs to; empty if the response names none.
	ID string
	// Authentic is true if the head carries the marker that backend servers add to their own responses.
	Authentic bool
	// NotRun is true if the server states that it has not run the request.
	NotRun bool
	// EventStream is true if the body is a stream of server-sent events.
	EventStream bool
	// Framing is how the end of the body is marked; it is set by the Client, not by the Codec.
	Framing framing.Kind
	// EndedBeforeHead is true if the server closed the connection after the request was sent and before the head of the response; it is
	// set by the Client, not by the Codec.
	EndedBeforeHead bool
	// EndedAtStart is true if the server closed the connection after the head of a successful response and before its first event,
	// or the first byte of another body; it is set by the Client, not by the Codec.
	EndedAtStart bool
	// EndedInBody is true if the server closed the connection after that, and before the response was known to be complete; it is set by
	// the Client, not by the Codec.
	EndedInBody bool
	// Misdirected is true if another backend server now has the address.
	Misdirected bool
	// Notice is what the server states about whether it takes requests.
	Notice notice.Notice
	// Limit is what the response states about the number of requests that the server takes.
	Limit throttle.Limit
	// Load is nil if the response does not state the load of the server.
	Load *Load
	// IdleTimeout is how long the server keeps an idle connection open; 0 if it is not stated.
	IdleTimeout time.Duration
}

// Load is the load that a backend server reports in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes at the server at this moment, in percent of what is usual; 0 if it is not stated.
	Slowness int
}

// Ended reports whether the server closed the connection of the request before the response was known to be complete.
func (r ResponseInfo) Ended() bool {
	return r.EndedBeforeHead || r.EndedAtStart || r.EndedInBody
}

// OK reports whether the status is a success.
func (r ResponseInfo) OK() bool {
	return r.Head.Status >= http.StatusOK && r.Head.Status < http.StatusMultipleChoices
}
