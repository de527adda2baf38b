// Package engine is the HTTP protocol of model engines, as the agent speaks it.
package engine

import (
	"context"
	"time"
)

// Info describes an engine; it is read in the handshake.
type Info struct {
	// Boot identifies the run of the engine process; it changes when the engine restarts empty.
	Boot string `json:"boot"`
	// Models lists the base models that are loaded.
	Models []string `json:"models"`
	// Slots is the number of adapters that fit at once.
	Slots int `json:"slots"`
	// BatchSize is the number of requests that run at once in one batch.
	BatchSize int `json:"batch"`
	// Fencing says whether the engine refuses an order with an old fencing number.
	Fencing bool `json:"fencing"`
}

// Adapter names a resident adapter version.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// RunningRequest is a request that the engine is running.
type RunningRequest struct {
	ID      string  `json:"id"`
	Adapter Adapter `json:"adapter"`
}

// Report is the engine's load report; it may lag behind by up to a second or so.
type Report struct {
	Boot     string           `json:"boot"`
	Resident []Adapter        `json:"resident"`
	Loading  []Adapter        `json:"loading"`
	Running  []RunningRequest `json:"running"`
	Waiting  int              `json:"waiting"`
	// Cold says that the engine knows itself to be in a cold start; it may turn cold without saying so.
	Cold bool `json:"cold"`
}

// Action is what an order asks for.
type Action string

// The actions.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order asks the engine to change its state. Orders are idempotent: loading a resident adapter changes nothing.
type Order struct {
	// ID identifies the order in logs.
	ID      string  `json:"id"`
	Action  Action  `json:"action"`
	Adapter Adapter `json:"adapter"`
	// Fence is the fencing number of the agent process.
	Fence int64 `json:"fence"`
}

// Request asks for a generation.
type Request struct {
	ID          string   `json:"id"`
	Model       string   `json:"model"`
	Adapter     Adapter  `json:"adapter"`
	Prompt      string   `json:"prompt"`
	MaxTokens   int64    `json:"tokens"`
	Temperature float64  `json:"temperature"`
	Seed        int64    `json:"seed"`
	Stop        []string `json:"stop,omitempty"`
	Priority    int32    `json:"priority"`
}

// Event is one event of a stream.
type Event struct {
	// ID is the id of the request that the event belongs to.
	ID string `json:"id"`
	// Adapter is the adapter version that produced the event.
	Adapter Adapter `json:"adapter"`
	// Seq counts the events of an answer from 0.
	Seq    int64  `json:"seq"`
	Text   string `json:"text"`
	Tokens int64  `json:"tokens"`
	// End marks the last event, which carries no text; Seq is then the number of events before it.
	End bool `json:"end,omitempty"`
	// FinishReason is set on the last event: "stop" or "length".
	FinishReason string `json:"finish,omitempty"`
	// PromptTokens is the number of prompt tokens; set on the last event.
	PromptTokens int64 `json:"prompt,omitempty"`
	// OutputTokens is the number of tokens produced; set on the last event.
	OutputTokens int64 `json:"output,omitempty"`
}

// Stream yields the events of one answer. Next returns io.EOF when the connection ends; an answer is whole only if
// an event with End was seen before.
type Stream interface {
	Next() (Event, error)
	Close() error
}

// Engine is a model engine. Errors carry a kind: fault.NotFound for an adapter that is not resident or a request that
// the engine does not know, fault.Conflict for an old fencing number, fault.AdapterUnavailable for a failed load,
// fault.Overloaded when it takes no more, and fault.BackendFailed for the rest.
type Engine interface {
	Info(ctx context.Context) (Info, error)
	Report(ctx context.Context) (Report, error)
	// Order returns when the order has been carried out, or with an error.
	Order(ctx context.Context, order Order) error
	Generate(ctx context.Context, request Request) (Stream, error)
	// Resume continues the stream of a running or recently ended request from event seq on.
	Resume(ctx context.Context, id string, seq int64) (Stream, error)
	// Cancel ends a request; canceling an unknown request changes nothing.
	Cancel(ctx context.Context, id string) error
}

// ResumeRetention is how long an engine keeps an ended answer for Resume.
const ResumeRetention = 30 * time.Second
