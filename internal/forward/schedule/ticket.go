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

// Request is a request that waits for its turn at the model server or runs there.
type Request struct {
	Adapter Adapter
	// Version is the oldest adapter version on which the request may run; 0 for any.
	MinVersion int64
	// Input and Output are the prompt tokens and the most output tokens.
	InputTokens     int64
	MaxOutputTokens int64
	// Urgency orders waiting requests; 0 is first.
	Urgency int
	Arrived time.Time
	// Due is when the output should have begun; later requests go behind those that can still be on time.
	Due time.Time
	// Expires is the last moment at which the request is worth starting.
	Expires time.Time

	phase phase
}

type phase int

const (
	waiting phase = iota
	reading
	writing
	ended
)

// Action is what the scheduler decided for a request; it is Start or Refuse.
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
	Err     *fault.Error
}

func (Start) action()  {}
func (Refuse) action() {}

// Limits describe the model server.
type Limits struct {
	Slots        int
	AdapterSlots int
	// Memory is the number of tokens that running requests may hold.
	MemoryTokens int64
	// Capacity is the size of the weights that fit at once, in MB.
	CapacityMB float64
	// Rate is the number of requests that may start in any second.
	StartsPerSecond int
	Models          []Model
}

// Model is a base model that the server can hold.
type Model struct {
	Name string
	// Size and Adapter are sizes in MB.
	SizeMB    float64
	AdapterMB float64
}
