package schedule

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Adapter names an adapter of a model; Name is empty for the model itself.
type Adapter struct {
	Model string
	Name  string
}

// Request is a request that waits in the queue or runs at the model server.
type Request struct {
	Adapter Adapter
	// StartedAt is the start of the only process of the server that may run the request, in Unix milliseconds; 0 for any.
	StartedAt int64
	// MinVersion is the oldest adapter version on which the request may run; 0 for any.
	MinVersion int64
	// InputTokens is the number of prompt tokens, and MaxOutputTokens the maximum number of output tokens.
	InputTokens     int64
	MaxOutputTokens int64
	// Urgency is the priority among waiting requests; 0 is the highest.
	Urgency int
	Arrived time.Time
	// Due is when the first event should come; requests that can't meet it go after those of their urgency that can.
	Due time.Time
	// Expires is the latest time at which the request may start; it is refused afterwards.
	Expires time.Time
	// GapTarget is the longest time between two events for which the stream is on time; 0 for none.
	GapTarget time.Duration
	// Resumed is true if the request continues a stream of which its client has a part.
	Resumed bool

	// Displaced is true once a plan displaced the request, which could have been on time alone.
	Displaced bool

	phase phase
	// displacedNow is true if the latest plan displaced the request.
	displacedNow bool
	// held is true once the request waited so that it did not delay streams.
	held bool
	// fetched is true if the adapter was not loaded when the request arrived.
	fetched bool
	// sentAt is when the request was sent to the server, and lastEvent when its last event came; lastEvent is zero before the first one.
	sentAt, lastEvent time.Time
	// stalledBefore is the stalled time of the server as of the last event.
	stalledBefore time.Duration
	// late is true once the first event came after it was due, or two events were further apart than GapTarget.
	late bool
}

// Held reports whether the request has waited so that its prefill did not delay streams.
func (r *Request) Held() bool {
	return r.held
}

type phase int

const (
	waiting phase = iota
	prefilling
	decoding
	ended
)

// Action is a decision of the scheduler on a request; it is a Start or a Refuse.
type Action interface {
	action()
}

// Start sends the request to the model server.
type Start struct {
	Request *Request
}

// Refuse ends a request that has not been sent.
type Refuse struct {
	Request *Request
	// Early is true if the request would have expired before its turn.
	Early bool
	Err   *fault.Error
}

func (Start) action()  {}
func (Refuse) action() {}

// Limits describes the model server.
type Limits struct {
	Slots        int
	AdapterSlots int
	// KVCapacity is the number of tokens that running requests may hold in the KV cache.
	KVCapacity int64
	// CapacityMB is the total size of the weights that the server can hold.
	CapacityMB float64
	// StartsPerSecond is the number of requests that may start in any second; 0 for no limit.
	StartsPerSecond int
	Models          []Model
}

// Model is a base model that the server can hold.
type Model struct {
	Name string
	// WeightsMB is the size of the model, and AdapterMB that of each of its adapters.
	WeightsMB float64
	AdapterMB float64
}
