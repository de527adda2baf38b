// Package api holds the messages of the operator API under /ops/v1.
package api

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
)

// Prefix starts every path of the operator API.
const Prefix = "/ops/v1"

// File carries a fleet file.
type File struct {
	Text string `json:"text"`
}

// Diff lists the edits that a fleet file would make to the document at a version.
type Diff struct {
	Version int64           `json:"version"`
	Edits   []document.Edit `json:"edits"`
}

// Change asks for a change on top of a version.
type Change struct {
	// ID makes a repeated call safe.
	ID string `json:"id"`
	// Version is the version on which the edits are based.
	Version int64           `json:"version"`
	Reason  string          `json:"reason"`
	Edits   []document.Edit `json:"edits"`
}

// Item asks for a change of one item, whatever the version.
type Item struct {
	// ID makes a repeated call safe.
	ID     string `json:"id"`
	Reason string `json:"reason"`
}

// Grant asks for a new key. The key itself stays with the operator; only its hash is sent.
type Grant struct {
	Item
	Key     string `json:"key"`
	Account string `json:"account"`
	Hash    string `json:"hash"`
}

// Exception asks for a new exception or replaces one.
type Exception struct {
	Item
	Scope  document.Scope `json:"scope"`
	Target string         `json:"target"`
	Set    document.Patch `json:"set"`
}

// Outcome says what became of a change.
type Outcome struct {
	// Version holds the change; 0 for a held revocation.
	Version int64  `json:"version"`
	Change  string `json:"change"`
	// Held says that a revocation is in force at the entries reached and is not yet committed to the table.
	Held bool `json:"held,omitempty"`
	// Unchanged says that the document was as wanted already.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Error is the body of an error.
type Error struct {
	Error ErrorDetail `json:"error"`
	// Changes were committed since the version on which a conflicting change was based.
	Changes []document.Change `json:"changes,omitempty"`
}

// ErrorDetail is in the form that the API for callers uses.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
	Ran     string `json:"ran"`
}

// EntryState says whether an entry has confirmed a version.
type EntryState string

// The values of EntryState.
const (
	EntryConfirmed   EntryState = "confirmed"
	EntryBehind      EntryState = "behind"
	EntryUnreachable EntryState = "unreachable"
)

// Entry is a listed entry as seen by the one that answers.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Version int64  `json:"version"`
	// Contact is the age of the last answer in seconds; negative if there was none.
	Contact float64    `json:"contact"`
	State   EntryState `json:"state"`
}

// InForce is the report on one version.
type InForce struct {
	Version int64 `json:"version"`
	// InForce is set when every listed entry has confirmed the version and the freshness limit has passed since.
	InForce bool `json:"force"`
	// Remaining is the rest of the freshness limit, in seconds.
	Remaining float64 `json:"remaining"`
	Entries   []Entry `json:"entries"`
}

// Holder holds a share of an account's tokens.
type Holder struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Share is the part of the account's rate and burst, from 0 to 1.
	Share float64 `json:"share"`
}

// Server is a backend server as listed.
type Server struct {
	Name   string   `json:"name"`
	VM     string   `json:"vm"`
	Domain string   `json:"domain"`
	Serves []string `json:"serves"`
	// Out says why the server gets no new work; empty if it may get some.
	Out string `json:"out,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	Name    string    `json:"name"`
	Out     bool      `json:"out"`
	Reason  string    `json:"reason,omitempty"`
	Since   time.Time `json:"since"`
	Entries int       `json:"entries"`
	Servers int       `json:"servers"`
}

// Status is the state of the fleet as one entry sees it.
type Status struct {
	Entry   string `json:"entry"`
	Version int64  `json:"version"`
	// Age is the age of the last confirmation of the version in seconds; negative if there was none.
	Age float64 `json:"age"`
	// Fresh says that the entry serves keyed work.
	Fresh   bool     `json:"fresh"`
	Entries []Entry  `json:"entries"`
	Domains []Domain `json:"domains"`
	Servers []Server `json:"servers"`
	// Holders maps accounts to the holders of their tokens.
	Holders map[string][]Holder `json:"holders"`
	// Held lists keys whose revocation is not yet committed.
	Held []string `json:"held,omitempty"`
}

// Explanation says what applies to a request and why.
type Explanation struct {
	Version int64          `json:"version"`
	Query   document.Query `json:"query"`
	document.Explanation
	// Account, Adapter and Route are the items named in the query.
	Account *document.Account `json:"account,omitempty"`
	Adapter *document.Adapter `json:"adapter,omitempty"`
	Route   *document.Route   `json:"route,omitempty"`
	// Notes are reasons why the request would be refused.
	Notes []string `json:"notes"`
}

// Audit lists committed changes, the newest first.
type Audit struct {
	Changes []document.Change `json:"changes"`
}
