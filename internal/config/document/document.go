// Package document is the fleet configuration: typed sections, edits, validation and the resolution of exceptions.
package document

import "time"

// Document is the fleet configuration at one version. It is immutable: Apply returns a new one.
type Document struct {
	// Version increases by 1 with each committed change; 0 is the empty document before the first change.
	Version    int64                `json:"version"`
	Default    Default              `json:"default"`
	Exceptions map[string]Exception `json:"exceptions"`
	Accounts   map[string]Account   `json:"accounts"`
	// Keys maps a key id to the key. A revoked key stays here, so that it can never become valid again.
	Keys     map[string]Key     `json:"keys"`
	Domains  map[string]Domain  `json:"domains"`
	VMs      map[string]VM      `json:"vms"`
	Models   map[string]Model   `json:"models"`
	Adapters map[string]Adapter `json:"adapters"`
	Routes   map[string]Route   `json:"routes"`
}

// Default holds the fleet-wide defaults. Exceptions override individual fields.
type Default struct {
	// Timeout bounds a request, unless its caller sets a shorter timeout.
	Timeout Duration `json:"timeout"`
	// Output is the maximum number of output tokens when the caller sets none.
	Output int64 `json:"output"`
	// Body is the maximum size of a request body, in bytes.
	Body int64 `json:"body"`
	// Limit is the maximum number of concurrent requests at a backend server.
	Limit int `json:"limit"`
	// Ramp is the number of concurrent requests at the beginning of a cold start; at least 1 and at most Limit.
	Ramp int `json:"ramp"`
	// Queue is the maximum number of requests in the queue of an agent.
	Queue int `json:"queue"`
	// Priority orders requests at an agent; higher is served first.
	Priority int32 `json:"priority"`
	// Weight is the share of a client account in fair queueing, relative to the others.
	Weight float64 `json:"weight"`
}

// Scope is the kind of item that an exception applies to.
type Scope string

// The values of Scope, from the least to the most specific; the more specific exception wins.
const (
	ScopeDomain  Scope = "domain"
	ScopeServer  Scope = "server"
	ScopeRoute   Scope = "route"
	ScopeAccount Scope = "account"
	ScopeAdapter Scope = "adapter"
)

// Exception overrides defaults for one item.
type Exception struct {
	Scope Scope `json:"scope"`
	// Target is the name of the domain, server, route, account or adapter.
	Target string `json:"target"`
	// Set holds the overridden fields; at least one.
	Set Patch `json:"set"`
	// Reason is required; it tells other operators why the exception exists.
	Reason string `json:"reason"`
	// Author and Time are set when the exception is committed.
	Author string    `json:"author,omitempty"`
	Time   time.Time `json:"time,omitzero"`
}

// Patch overrides those fields of Default that are not nil.
type Patch struct {
	Timeout  *Duration `json:"timeout,omitempty"`
	Output   *int64    `json:"output,omitempty"`
	Body     *int64    `json:"body,omitempty"`
	Limit    *int      `json:"limit,omitempty"`
	Ramp     *int      `json:"ramp,omitempty"`
	Queue    *int      `json:"queue,omitempty"`
	Priority *int32    `json:"priority,omitempty"`
	Weight   *float64  `json:"weight,omitempty"`
}

// Account is a client account.
type Account struct {
	// Rate is in tokens per second across the fleet; above 0.
	Rate float64 `json:"rate"`
	// Burst is in tokens; above 0. A request that costs more is refused.
	Burst int64 `json:"burst"`
	// Routes limits the account to these routes; empty allows every keyed route.
	Routes []string `json:"routes,omitempty"`
}

// Key describes a caller's key. The key itself is not stored.
type Key struct {
	// Hash is the SHA-256 of the key, in lower-case hex.
	Hash string `json:"hash"`
	// Account is the client account of the caller.
	Account string `json:"account"`
	// Revoked keys stay in the document; a key never changes from revoked to valid.
	Revoked bool `json:"revoked,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	// Out takes the failure domain out of service.
	Out bool `json:"out,omitempty"`
	// Reason is required when Out is set.
	Reason string `json:"reason,omitempty"`
	// Since is when Out last changed; the gradual return of the failure domain to service starts then.
	Since time.Time `json:"since,omitzero"`
}

// VM is the state of one VM.
type VM struct {
	// Out takes the VM out of service.
	Out bool `json:"out,omitempty"`
	// Reason is required when Out is set.
	Reason string `json:"reason,omitempty"`
	// Since is when Out last changed.
	Since time.Time `json:"since,omitzero"`
}

// Model is a base model.
type Model struct {
	// Context is the maximum length of prompt plus output, in tokens; above 0.
	Context int64 `json:"context"`
}

// Adapter is a LoRA adapter of a base model.
type Adapter struct {
	// Model is the name of the base model.
	Model string `json:"model"`
	// Versions lists the versions that may be requested; never empty.
	Versions []string `json:"versions"`
	// Pin is the version for requests that name none; it is one of Versions.
	Pin string `json:"pin"`
	// Accounts limits the adapter to these client accounts; empty allows all.
	Accounts []string `json:"accounts,omitempty"`
}

// Route is a plain-service route, or one of the built-in completion routes.
type Route struct {
	// Path is the path prefix, such as "/press/"; unique among the routes.
	Path string `json:"path"`
	// Service is the plain service that serves the route; empty for the completion routes.
	Service string `json:"service,omitempty"`
	// Open routes need no key and are not charged.
	Open bool `json:"open,omitempty"`
	// Idempotent is true if a call may be retried after it may have run.
	Idempotent bool `json:"idempotent,omitempty"`
	// Methods lists the allowed HTTP methods; never empty.
	Methods []string `json:"methods"`
	// Cost is the cost of each call, in tokens; 0 on open routes.
	Cost int64 `json:"cost,omitempty"`
}
