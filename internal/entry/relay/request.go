// Package relay sends requests to agents, with retries and resumes, and returns their complete responses.
package relay

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Request is one admitted request.
type Request struct {
	// ID is the request id that the caller sees; agents get a different one.
	ID      string
	Account string
	// Key is the id of the caller's API key; empty on open routes.
	Key      string
	Route    string
	Priority int32
	// Cost is the number of tokens that were debited.
	Cost int64
	// Deadline is a time on this process's clock.
	Deadline time.Time
	Work     Work
	// Check repeats the entry's admission checks before each sending; an error ends the request as not run.
	Check func() (Config, error)
}

// Config identifies the document version under which a request is sent.
type Config struct {
	Version int64
	// Age is the time since the version was last confirmed.
	Age time.Duration
}

// Work is the payload of a request; it is Generate or Call.
type Work interface {
	// capability is what a backend server must serve: "model/<name>" or "service/<name>", as in the VM list.
	capability() string
	// hashKey is the key of rendezvous hashing, by which servers are ranked.
	hashKey() string
	// adapterVersion is the adapter as adapter@version; empty for calls.
	adapterVersion() string
	// idempotent reports whether the work may be sent again after it may have run.
	idempotent() bool
}

// Generate is a text generation. It may always be sent again, whether or not it has a seed.
type Generate struct {
	*rpc.Generate
}

// Call is a call to a plain service. A call that is not idempotent has an attempt id.
type Call struct {
	*rpc.Call
}

func (g Generate) capability() string     { return "model/" + g.Model }
func (g Generate) hashKey() string        { return g.Adapter }
func (g Generate) adapterVersion() string { return g.Adapter + "@" + g.Version }
func (Generate) idempotent() bool         { return true }

func (c Call) capability() string   { return "service/" + c.Service }
func (c Call) hashKey() string      { return c.Service }
func (Call) adapterVersion() string { return "" }
func (c Call) idempotent() bool     { return c.Idempotent }

// Sink receives the output of a request.
type Sink interface {
	// Chunk processes the next chunk; after an error the response can no longer be delivered.
	Chunk(chunk *rpc.Chunk) error
	// Reset discards the chunks received so far and reports whether that was possible; it is not once a chunk was sent to the
	// caller.
	Reset() bool
	// CanReset reports what Reset would, and is safe for concurrent use.
	CanReset() bool
}

// Result is the outcome of a request. Its fields other than Done are also valid when an error is returned.
type Result struct {
	// Done is the end of the complete response; nil if an error is returned.
	Done *rpc.Done
	// Server is the last backend server that the request was sent to.
	Server string
	// Tries is the number of servers that the request was sent to.
	Tries int
	// MayHaveStarted is true if a backend server may have been given the request.
	MayHaveStarted bool
	// OutputTokens is the number of tokens received.
	OutputTokens int64
	// LoadWait is how long the request waited for an adapter load, as the agent reported it.
	LoadWait time.Duration
}

// AgentProcess identifies one process of an agent.
type AgentProcess struct {
	Server  string
	Address string
	// Boot is the boot id of the process, which changes with each restart.
	Boot string
}

// NoOutput is the Sink of calls, whose responses have no chunks.
type NoOutput struct{}

// Chunk implements Sink.
func (NoOutput) Chunk(*rpc.Chunk) error { return nil }

// Reset implements Sink.
func (NoOutput) Reset() bool { return true }

// CanReset implements Sink.
func (NoOutput) CanReset() bool { return true }
