package document

import (
	"maps"
	"slices"
	"strings"
)

func (c *checker) checkException(name string, exception Exception) {
	if strings.TrimSpace(exception.Reason) == "" {
		c.problems.add(SectionException, name, "reason", "is required")
	}

	if len(exception.Set.Fields()) == 0 {
		c.problems.add(SectionException, name, "set", "is empty")
	}

	c.checkTarget(name, exception)

	// Invalid defaults are reported once, not again for each exception.
	if c.invalidDefaults {
		return
	}

	merged := c.document.Default
	exception.Set.apply(&merged, func(string) bool { return true })
	c.checkDefaults(SectionException, name, "set.", merged)
}

func (c *checker) checkTarget(name string, exception Exception) {
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

// checkUniqueFields checks that no two exceptions for one target set the same field, because neither would be more specific.
func (c *checker) checkUniqueFields() {
	type fieldKey struct {
		scope  Scope
		target string
		field  string
	}

	setBy := map[fieldKey]string{}

	for _, name := range slices.Sorted(maps.Keys(c.document.Exceptions)) {
		exception := c.document.Exceptions[name]

		for _, field := range exception.Set.Fields() {
			key := fieldKey{exception.Scope, exception.Target, field}
			if other, ok := setBy[key]; ok {
				c.problems.add(SectionException, name, "set."+field, "exception %q already sets it for the same %s", other, exception.Scope)
			}

			setBy[key] = name
		}
	}
}
