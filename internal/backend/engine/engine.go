// Package engine defines the HTTP protocol of model engines and implements the client that the agent uses.
package engine

import (
	"context"
	"time"
)

// Info describes an engine. The agent reads it during the handshake.
type Info struct {
	// Boot is the boot id of the engine process. It changes when the engine restarts, which also drops its adapters.
	Boot string `json:"boot"`
	// Models lists the base models that are loaded.
	Models []string `json:"models"`
	// Slots is the number of adapter slots.
	Slots int `json:"slots"`
	// BatchSize is the maximum number of requests that run concurrently in one batch.
	BatchSize int `json:"batch"`
	// Fencing is true if the engine rejects orders with an outdated fencing number.
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

// Report is the engine's load report. It may be outdated by about a second.
type Report struct {
	Boot     string           `json:"boot"`
	Resident []Adapter        `json:"resident"`
	Loading  []Adapter        `json:"loading"`
	Running  []RunningRequest `json:"running"`
	Waiting  int              `json:"waiting"`
	// Cold is true if the engine reports a cold start. An engine may be in a cold start without reporting it.
	Cold bool `json:"cold"`
}

// Action is the operation of an order.
type Action string

// The actions.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order is a command to load or unload an adapter. Orders are idempotent: loading a resident adapter has no effect.
type Order struct {
	// ID identifies the order in log lines.
	ID      string  `json:"id"`
	Action  Action  `json:"action"`
	Adapter Adapter `json:"adapter"`
	// Fence is the fencing number held by the agent process.
	Fence int64 `json:"fence"`
}

// Request is the request body of /generate.
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

// Event is one event of an output stream.
type Event struct {
	// ID is the id of the request that the event belongs to.
	ID string `json:"id"`
	// Adapter is the adapter version that produced the event.
	Adapter Adapter `json:"adapter"`
	// Seq is the sequence number of the event in the output, starting at 0.
	Seq    int64  `json:"seq"`
	Text   string `json:"text"`
	Tokens int64  `json:"tokens"`
	// End marks the last event, which has no text; its Seq is the number of events before it.
	End bool `json:"end,omitempty"`
	// FinishReason is "stop" or "length"; set on the last event.
	FinishReason string `json:"finish,omitempty"`
	// PromptTokens is the number of prompt tokens; set on the last event.
	PromptTokens int64 `json:"prompt,omitempty"`
	// OutputTokens is the number of generated tokens; set on the last event.
	OutputTokens int64 `json:"output,omitempty"`
}

// Stream reads the events of one output. Next returns io.EOF when the connection ends; the output is complete only if an
// event with End was read before.
type Stream interface {
	Next() (Event, error)
	Close() error
}

// Engine is a model engine. Its errors have a kind: fault.NotFound for an adapter that is not resident or an unknown request,
// fault.Conflict for an outdated fencing number, fault.AdapterUnavailable for a failed load, fault.Overloaded if the engine
// accepts no more requests, fault.Canceled or fault.DeadlineExceeded if the context is done, and fault.BackendFailed
// otherwise.
type Engine interface {
	Info(ctx context.Context) (Info, error)
	Report(ctx context.Context) (Report, error)
	// Order returns after the engine has executed the order, or with an error.
	Order(ctx context.Context, order Order) error
	Generate(ctx context.Context, request Request) (Stream, error)
	// Resume continues the stream of a running or recently completed request, starting with event seq.
	Resume(ctx context.Context, id string, seq int64) (Stream, error)
	// Cancel cancels a request; canceling an unknown request has no effect.
	Cancel(ctx context.Context, id string) error
}

// ResumeRetention is how long an engine keeps the output of a completed request for Resume.
const ResumeRetention = 30 * time.Second
