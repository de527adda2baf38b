// Package api defines the messages of the operator API under /ops/v1.
package api

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
)

// Prefix is the path prefix of the operator API.
const Prefix = "/ops/v1"

// File contains the text of a fleet file.
type File struct {
	Text string `json:"text"`
}

// Diff lists the edits that turn the document at a version into the content of a fleet file.
type Diff struct {
	Version int64           `json:"version"`
	Edits   []document.Edit `json:"edits"`
}

// Change requests a change of the document at a given version.
type Change struct {
	// ID is the idempotency key of the request.
	ID string `json:"id"`
	// Version is the version on which the edits are based.
	Version int64           `json:"version"`
	Reason  string          `json:"reason"`
	Edits   []document.Edit `json:"edits"`
}

// ItemChange requests a change of one item, whatever the version of the document.
type ItemChange struct {
	// ID is the idempotency key of the request.
	ID     string `json:"id"`
	Reason string `json:"reason"`
}

// Grant requests a new key. The key itself stays with the operator; only its hash is sent.
type Grant struct {
	ItemChange
	// Key is the id of the key.
	Key     string `json:"key"`
	Account string `json:"account"`
	Hash    string `json:"hash"`
}

// Exception requests a new exception or replaces an existing one.
type Exception struct {
	ItemChange
	Scope  document.Scope `json:"scope"`
	Target string         `json:"target"`
	Set    document.Patch `json:"set"`
}

// Outcome is the result of a change.
type Outcome struct {
	// Version is the version that contains the change; 0 for a pending revocation.
	Version int64 `json:"version"`
	// Change is the id of the change.
	Change string `json:"change"`
	// Pending is true if a revocation is in force at the reachable entries but not yet committed to the table.
	Pending bool `json:"held,omitempty"`
	// Unchanged is true if the document already had the requested content.
	Unchanged bool `json:"unchanged,omitempty"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
	// Changes lists the changes committed since the version on which a conflicting change was based.
	Changes []document.Change `json:"changes,omitempty"`
}

// ErrorDetail describes an error in the same form as the client API.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
	Ran     string `json:"ran"`
}

// EntryState is the state of an entry with respect to a version.
type EntryState string

// The values of EntryState.
const (
	EntryConfirmed   EntryState = "confirmed"
	EntryBehind      EntryState = "behind"
	EntryUnreachable EntryState = "unreachable"
)

// Entry is a listed entry as seen by the entry that serves the request.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Version int64  `json:"version"`
	// LastContactAge is the time since the last contact with the entry, in seconds; negative if there was none.
	LastContactAge float64    `json:"contact"`
	State          EntryState `json:"state"`
}

// VersionReport reports whether a version is in force.
type VersionReport struct {
	Version int64 `json:"version"`
	// InForce is true if every listed entry has confirmed the version and the freshness limit has passed since.
	InForce bool `json:"force"`
	// Remaining is the time until the freshness limit has passed, in seconds.
	Remaining float64 `json:"remaining"`
	Entries   []Entry `json:"entries"`
}

// Holder is an entry that holds a share of an account's tokens.
type Holder struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Share is the fraction of the account's rate and burst, from 0 to 1.
	Share float64 `json:"share"`
}

// Server is a listed backend server.
type Server struct {
	Name   string   `json:"name"`
	VM     string   `json:"vm"`
	Domain string   `json:"domain"`
	Serves []string `json:"serves"`
	// OutReason is the reason why the server gets no new work; empty if it is in service.
	OutReason string `json:"out,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name"`
	Out    bool   `json:"out"`
	Reason string `json:"reason,omitempty"`
	// Since is when Out last changed.
	Since   time.Time `json:"since"`
	Entries int       `json:"entries"`
	Servers int       `json:"servers"`
}

// Status is the state of the fleet as one entry sees it.
type Status struct {
	Entry   string `json:"entry"`
	Version int64  `json:"version"`
	// ConfirmationAge is the age of the last confirmation of the version, in seconds; negative if there was none.
	ConfirmationAge float64 `json:"age"`
	// Fresh is true if the entry accepts requests with a key.
	Fresh   bool     `json:"fresh"`
	Entries []Entry  `json:"entries"`
	Domains []Domain `json:"domains"`
	Servers []Server `json:"servers"`
	// Holders maps accounts to the holders of their tokens.
	Holders map[string][]Holder `json:"holders"`
	// PendingRevocations lists the ids of keys whose revocation is not yet committed.
	PendingRevocations []string `json:"held,omitempty"`
}

// Explanation lists the settings that apply to a request and where they come from.
type Explanation struct {
	Version int64          `json:"version"`
	Query   document.Query `json:"query"`
	document.Explanation
	// Account, Adapter and Route are the items named in the query.
	Account *document.Account `json:"account,omitempty"`
	Adapter *document.Adapter `json:"adapter,omitempty"`
	Route   *document.Route   `json:"route,omitempty"`
	// Notes lists the reasons why the request would be refused.
	Notes []string `json:"notes"`
}

// Audit lists committed changes, the newest first.
type Audit struct {
	Changes []document.Change `json:"changes"`
}
