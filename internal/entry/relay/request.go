// Package relay sends one request to agents and returns its whole answer.
package relay

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Request is one admitted request.
type Request struct {
	// ID is the id that the caller sees; agents get another one.
	ID      string
	Account string
	// Key is the id of the caller's key; empty on open routes.
	Key      string
	Route    string
	Priority int32
	// Cost is the number of tokens that were debited.
	Cost int64
	// Deadline is on this process's clock.
	Deadline time.Time
	Work     Work
	// Check repeats the entry's own checks before each sending; an error ends the request as not run.
	Check func() (Config, error)
}

// Config is the document version under which a request is sent.
type Config struct {
	Version int64
	// Age is the time since the version was last confirmed.
	Age time.Duration
}

// Work is what a request asks for; it is Generate or Call.
type Work interface {
	// offer is what a backend server must serve, as in the VM list.
	offer() string
	// name is what servers are ranked for.
	name() string
	// resident is the adapter as adapter@version.
	resident() string
	// repeatable says that the work may be sent again after it may have run.
	repeatable() bool
}

// Generate is a generation. Its seed makes no difference to whether it may be repeated.
type Generate struct {
	*rpc.Generate
}

// Call is a call to a plain service. A call that is not idempotent has an attempt id.
type Call struct {
	*rpc.Call
}

func (g Generate) offer() string    { return "model/" + g.Model }
func (g Generate) name() string     { return g.Adapter }
func (g Generate) resident() string { return g.Adapter + "@" + g.Version }
func (Generate) repeatable() bool   { return true }

func (c Call) offer() string    { return "service/" + c.Service }
func (c Call) name() string     { return c.Service }
func (Call) resident() string   { return "" }
func (c Call) repeatable() bool { return c.Idempotent }

// Sink receives the output of a request.
type Sink interface {
	// Chunk takes the next chunk; an error means that the caller is gone.
	Chunk(chunk *rpc.Chunk) error
	// Reset discards the chunks taken so far and reports whether that was possible, which it is not once the caller has
	// received any.
	Reset() bool
}

// Result is the outcome of a request. Its counts are valid with an error as well.
type Result struct {
	// Done is the end of the whole answer; nil with an error.
	Done *rpc.Done
	// Server is the backend server that was tried last.
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
	// Boot is the boot id of the process.
	Boot string
}

// NoOutput is the Sink of calls, whose answers have no chunks.
type NoOutput struct{}

// Chunk implements Sink.
func (NoOutput) Chunk(*rpc.Chunk) error { return nil }

// Reset implements Sink.
func (NoOutput) Reset() bool { return true }
