// Package document is the fleet configuration: typed sections, edits, validation and the resolution of exceptions.
package document

import "time"

// Document is the fleet configuration at one version. It is immutable: Apply returns a new one.
type Document struct {
	// Version grows by 1 with each committed change; 0 is the empty document before the first change.
	Version    int64                `json:"version"`
	Default    Default              `json:"default"`
	Exceptions map[string]Exception `json:"exceptions"`
	Accounts   map[string]Account   `json:"accounts"`
	// Keys maps a key id to the key. A revoked key stays here, so that it never returns.
	Keys     map[string]Key     `json:"keys"`
	Domains  map[string]Domain  `json:"domains"`
	VMs      map[string]VM      `json:"vms"`
	Models   map[string]Model   `json:"models"`
	Adapters map[string]Adapter `json:"adapters"`
	Routes   map[string]Route   `json:"routes"`
}

// Default holds the fleet-wide defaults. Exceptions override single fields.
type Default struct {
	// Timeout bounds a request whose caller sets no shorter one.
	Timeout Duration `json:"timeout"`
	// Output is the maximum number of output tokens when the caller names none.
	Output int64 `json:"output"`
	// Body is the maximum size of a request body, in bytes.
	Body int64 `json:"body"`
	// Limit is the highest number of requests that run at a backend server at once.
	Limit int `json:"limit"`
	// Ramp is the number of requests that run at once when a cold start begins; at least 1 and at most Limit.
	Ramp int `json:"ramp"`
	// Queue is the highest number of requests that wait at an agent.
	Queue int `json:"queue"`
	// Priority orders requests at an agent; higher is served first.
	Priority int32 `json:"priority"`
	// Weight is the share of a client account in fair queueing, relative to the others.
	Weight float64 `json:"weight"`
}

// Scope says what an exception applies to.
type Scope string

// The values of Scope, from the least to the most specific; the more specific exception wins.
const (
	ScopeDomain  Scope = "domain"
	ScopeServer  Scope = "server"
	ScopeRoute   Scope = "route"
	ScopeAccount Scope = "account"
	ScopeAdapter Scope = "adapter"
)

// Exception overrides defaults for one item, with the reason for the next operator to read.
type Exception struct {
	Scope Scope `json:"scope"`
	// Target is the name of the domain, server, route, account or adapter.
	Target string `json:"target"`
	Set    Patch  `json:"set"`
	// Reason is required.
	Reason string `json:"reason"`
	// Author and Time are filled in when the exception is committed.
	Author string    `json:"author,omitempty"`
	Time   time.Time `json:"time,omitzero"`
}

// Patch overrides the fields of Default that are set.
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
	// Burst is in tokens; a request that costs more is refused.
	Burst int64 `json:"burst"`
	// Routes limits the account to these routes; empty allows every keyed route.
	Routes []string `json:"routes,omitempty"`
}

// Key is a caller's key; the key itself is stored nowhere.
type Key struct {
	// Hash is the SHA-256 of the key, in hex.
	Hash    string `json:"hash"`
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
	// Since is when the state last changed; it starts the gradual return.
	Since time.Time `json:"since,omitzero"`
}

// VM is the state of one VM.
type VM struct {
	Out    bool      `json:"out,omitempty"`
	Reason string    `json:"reason,omitempty"`
	Since  time.Time `json:"since,omitzero"`
}

// Model is a base model.
type Model struct {
	// Context is the largest prompt plus output, in tokens.
	Context int64 `json:"context"`
}

// Adapter is a LoRA adapter of a base model.
type Adapter struct {
	Model string `json:"model"`
	// Versions lists the versions that may be requested; never empty.
	Versions []string `json:"versions"`
	// Pin is the version that a request without one gets; it is one of Versions.
	Pin string `json:"pin"`
	// Accounts limits the adapter to these client accounts; empty allows all.
	Accounts []string `json:"accounts,omitempty"`
}

// Route is a plain-service route, or one of the built-in completion routes.
type Route struct {
	// Path is the path prefix, such as "/press/".
	Path string `json:"path"`
	// Service is the plain service that serves the route; empty for the completion routes.
	Service string `json:"service,omitempty"`
	// Open routes need no key and are not charged.
	Open bool `json:"open,omitempty"`
	// Idempotent says that calls may be repeated.
	Idempotent bool `json:"idempotent,omitempty"`
	// Methods lists the HTTP methods allowed.
	Methods []string `json:"methods"`
	// Cost is in tokens for each call; 0 on open routes.
	Cost int64 `json:"cost,omitempty"`
}
