// Package inspect finds faults in an operator's configuration before it is in force, and the differences between two versions.
// It reads and writes nothing.
package inspect

import (
	"fmt"
	"strconv"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
)

// Class is the kind of a fault in an entry of the configuration.
type Class string

// The values of Class.
const (
	// Error is an entry that is invalid, or that is not used as it is written.
	Error Class = "error"
	// Unmatched is an entry that no request can ever match.
	Unmatched Class = "never matches"
	// Contradiction is a limit that contradicts another one.
	Contradiction Class = "contradiction"
)

// Finding is a fault at one place.
type Finding struct {
	Class Class
	Place string
	Text  string
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Class, f.Place, f.Text)
}

// Draft is a configuration in the order in which the operator wrote it. Unlike catalog.Config it keeps duplicates.
type Draft struct {
	Version  int64
	Routes   []catalog.Route
	Services []catalog.Service
	Accounts []catalog.Account
	Limits   catalog.Limits
	// Dropped lists what the decoder found and the other fields do not show.
	Dropped []Finding
}

// The kinds of entries in places.
const (
	KindRoute   = "route"
	KindService = "service"
	KindAccount = "account"
	KindModel   = "model"
)

// Places of findings that concern no single entry.
const (
	PlaceLimits  = "limits"
	PlaceVersion = "version"
)

// Place returns a readable name of an entry; an entry without a name is named by its position, which index counts from 0.
func Place(kind, name string, index int) string {
	if name == "" {
		return kind + " number " + strconv.Itoa(index+1)
	}

	return kind + " " + strconv.Quote(name)
}

// Inspect returns the faults of a draft.
func Inspect(draft *Draft) []Finding {
	r := &recorder{findings: append([]Finding(nil), draft.Dropped...)}

	r.names(draft)
	r.routes(draft)
	r.services(draft.Services)
	r.accounts(draft.Accounts)
	r.limits(draft.Limits)

	return r.findings
}

// recorder collects findings.
type recorder struct {
	findings []Finding
}

func (r *recorder) add(class Class, place, format string, args ...any) {
	r.findings = append(r.findings, Finding{Class: class, Place: place, Text: fmt.Sprintf(format, args...)})
}

func (r *recorder) names(draft *Draft) {
	names(r, KindRoute, draft.Routes, func(route catalog.Route) string { return route.Name })
	names(r, KindService, draft.Services, func(service catalog.Service) string { return service.Name })
	names(r, KindAccount, draft.Accounts, func(account catalog.Account) string { return account.Name })
}

// names reports entries without a name, and entries of one kind with the same name.
func names[T any](r *recorder, kind string, entries []T, name func(T) string) {
	seen := map[string]bool{}

	for i, entry := range entries {
		switch n := name(entry); {
		case n == "":
			r.add(Error, Place(kind, n, i), "the name is missing")
		case seen[n]:
			r.add(Error, Place(kind, n, i), "an earlier %s has the same name", kind)
		default:
			seen[n] = true
		}
	}
}
