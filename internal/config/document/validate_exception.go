package document

import (
	"maps"
	"slices"
	"strings"
)

func (c *checker) exception(name string, exception Exception) {
	if strings.TrimSpace(exception.Reason) == "" {
		c.problems.add(SectionException, name, "reason", "is required")
	}

	if len(exception.Set.Fields()) == 0 {
		c.problems.add(SectionException, name, "set", "is empty")
	}

	c.target(name, exception)

	// Wrong defaults are reported once and not again for each exception.
	if c.wrongDefaults {
		return
	}

	merged := c.document.Default
	exception.Set.apply(&merged, func(string) bool { return true })
	c.defaults(SectionException, name, "set.", merged)
}

func (c *checker) target(name string, exception Exception) {
	found := true

	switch exception.Scope {
	case ScopeDomain, ScopeServer:
		found = IsName(exception.Target)
	case ScopeRoute:
		_, found = c.document.Routes[exception.Target]
	case ScopeAccount:
		_, found = c.document.Accounts[exception.Target]
	case ScopeAdapter:
		_, found = c.document.Adapters[exception.Target]
	default:
		c.problems.add(SectionException, name, "scope", "%q is not domain, server, route, account or adapter", exception.Scope)
	}

	if !found {
		c.problems.add(SectionException, name, "target", "there is no %s %q", exception.Scope, exception.Target)
	}
}

// sameFields checks that no two exceptions of one target set the same field, because neither would be more specific.
func (c *checker) sameFields() {
	type place struct {
		scope  Scope
		target string
		field  string
	}

	owner := map[place]string{}

	for _, name := range slices.Sorted(maps.Keys(c.document.Exceptions)) {
		exception := c.document.Exceptions[name]

		for _, field := range exception.Set.Fields() {
			key := place{exception.Scope, exception.Target, field}
			if other, ok := owner[key]; ok {
				c.problems.add(SectionException, name, "set."+field, "exception %q sets it for the same %s", other, exception.Scope)
			}

			owner[key] = name
		}
	}
}
