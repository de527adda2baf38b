package document

import (
	"maps"
	"slices"
)

// Query names the items that a request involves; empty fields match no exception.
type Query struct {
	Domain  string `json:"domain,omitempty"`
	Server  string `json:"server,omitempty"`
	Route   string `json:"route,omitempty"`
	Account string `json:"account,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Explanation holds the value that applies to each field, and its source.
type Explanation struct {
	Value Default `json:"value"`
	// Sources maps a field to the name of the exception that sets it; fields at their default are absent.
	Sources map[string]string `json:"sources"`
	// Exceptions holds the exceptions named in Sources.
	Exceptions map[string]Exception `json:"exceptions"`
}

// scopes is ordered from the least to the most specific.
var scopes = [...]Scope{ScopeDomain, ScopeServer, ScopeRoute, ScopeAccount, ScopeAdapter}

// Resolve returns the defaults with the exceptions for the query applied. For each field, the most specific scope wins.
func (d *Document) Resolve(query Query) Default {
	value := d.Default

	if len(d.Exceptions) > 0 {
		d.resolve(query, func(_ string, exception Exception) {
			exception.Set.apply(&value, func(string) bool { return true })
		})
	}

	value.capRamp()

	return value
}

// Explain returns the same value as Resolve, with the source of each field.
func (d *Document) Explain(query Query) Explanation {
	result := Explanation{Value: d.Default, Sources: map[string]string{}, Exceptions: map[string]Exception{}}

	d.resolve(query, func(name string, exception Exception) {
		exception.Set.apply(&result.Value, func(field string) bool {
			result.Sources[field] = name
			return true
		})
	})

	for _, name := range result.Sources {
		result.Exceptions[name] = d.Exceptions[name]
	}

	result.Value.capRamp()

	return result
}

// Names returns the names of the exceptions that apply, sorted.
func (e Explanation) Names() []string {
	return slices.Sorted(maps.Keys(e.Exceptions))
}

// resolve visits the matching exceptions from the least to the most specific. Two exceptions of one scope never set the
// same field, so their order does not matter.
func (d *Document) resolve(query Query, visit func(name string, exception Exception)) {
	for _, scope := range scopes {
		target := query.target(scope)
		if target == "" {
			continue
		}

		for name, exception := range d.Exceptions {
			if exception.Scope == scope && exception.Target == target {
				visit(name, exception)
			}
		}
	}
}

func (q Query) target(scope Scope) string {
	switch scope {
	case ScopeDomain:
		return q.Domain
	case ScopeServer:
		return q.Server
	case ScopeRoute:
		return q.Route
	case ScopeAccount:
		return q.Account
	case ScopeAdapter:
		return q.Adapter
	default:
		return ""
	}
}

// capRamp lowers Ramp to Limit, which it exceeds when exceptions of different scopes set the two.
func (d *Default) capRamp() {
	d.Ramp = min(d.Ramp, d.Limit)
}

// Fields returns the names of the fields that the patch sets.
func (p Patch) Fields() []string {
	var (
		ignored Default
		fields  []string
	)

	p.apply(&ignored, func(field string) bool {
		fields = append(fields, field)
		return true
	})

	return fields
}

func (p Patch) apply(to *Default, wanted func(field string) bool) {
	setField(p.Timeout, &to.Timeout, "timeout", wanted)
	setField(p.Output, &to.Output, "output", wanted)
	setField(p.Body, &to.Body, "body", wanted)
	setField(p.Limit, &to.Limit, "limit", wanted)
	setField(p.Ramp, &to.Ramp, "ramp", wanted)
	setField(p.Queue, &to.Queue, "queue", wanted)
	setField(p.Priority, &to.Priority, "priority", wanted)
	setField(p.Weight, &to.Weight, "weight", wanted)
}

func setField[T any](from, to *T, field string, wanted func(field string) bool) {
	if from != nil && wanted(field) {
		*to = *from
	}
}
