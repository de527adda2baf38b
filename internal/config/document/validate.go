package document

import (
	"encoding/hex"
	"maps"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// hashHexLength is the number of hex digits of a SHA-256.
const hashHexLength = 64

// reservedAccount is the name of the account that limits loads from the weight store; its tokens are loads.
const reservedAccount = "weights"

// namePattern matches every valid name: lower-case letters, digits, hyphens and dots.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// sections lists the sections in dependency order: an item refers only to items of earlier sections.
var sections = []Section{
	SectionDefault, SectionModel, SectionRoute, SectionAccount, SectionAdapter, SectionException, SectionKey,
	SectionDomain, SectionVM,
}

var allowedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// IsName reports whether a text is a valid name.
func IsName(text string) bool {
	return namePattern.MatchString(text)
}

// Validate checks the whole document. Its error lists all problems.
func (d *Document) Validate() error {
	check := checker{document: d, allAdapters: true}
	check.run()

	return check.problems.Err()
}

// validateChange checks what the edits may have made invalid. Because there are many adapters, unchanged ones are checked only
// if the edits delete an item that adapters can refer to.
func validateChange(from, to *Document, edits []Edit) Problems {
	check := checker{document: to}

	for _, edit := range edits {
		deleted := len(edit.Value) == 0

		switch edit.Section {
		case SectionAdapter:
			check.editedAdapters = append(check.editedAdapters, edit.Name)
		case SectionModel, SectionAccount:
			check.allAdapters = check.allAdapters || deleted
		case SectionKey:
			check.checkKeyEdit(from, edit)
		}
	}

	check.run()

	return check.problems
}

// checkEdits checks the edits themselves, before they are applied.
func checkEdits(edits []Edit) Problems {
	var problems Problems

	type item struct {
		section Section
		name    string
	}

	seen := map[item]bool{}

	if len(edits) == 0 {
		problems.add("change", "", "edits", "no edits")
	}

	for _, edit := range edits {
		key := item{edit.Section, edit.Name}

		switch {
		case !slices.Contains(sections, edit.Section):
			problems.add(edit.Section, edit.Name, "", "unknown section")
		case seen[key]:
			problems.add(edit.Section, edit.Name, "", "edited twice in one change")
		case edit.Section == SectionDefault && (edit.Name != DefaultName || len(edit.Value) == 0):
			problems.add(edit.Section, edit.Name, "", "the only item is %q and cannot be deleted", DefaultName)
		}

		seen[key] = true
	}

	return problems
}

// checker validates a document and collects the problems.
type checker struct {
	document *Document
	// allAdapters is true if all adapters are checked, not only editedAdapters.
	allAdapters    bool
	editedAdapters []string
	problems       Problems
	// invalidDefaults is true if the defaults have a problem.
	invalidDefaults bool
}

func (c *checker) run() {
	d := c.document
	before := len(c.problems)

	c.checkDefaults(SectionDefault, DefaultName, "", d.Default)
	c.invalidDefaults = len(c.problems) > before
	checkItems(c, SectionModel, d.Models, c.checkModel)
	checkItems(c, SectionRoute, d.Routes, c.checkRoute)
	checkItems(c, SectionAccount, d.Accounts, c.checkAccount)
	checkItems(c, SectionException, d.Exceptions, c.checkException)
	checkItems(c, SectionKey, d.Keys, c.checkKey)
	checkItems(c, SectionDomain, d.Domains, func(name string, item Domain) { c.checkOutReason(SectionDomain, name, item.Out, item.Reason) })
	checkItems(c, SectionVM, d.VMs, func(name string, item VM) { c.checkOutReason(SectionVM, name, item.Out, item.Reason) })
	checkItems(c, SectionAdapter, c.adaptersToCheck(), c.checkAdapter)
	c.checkUniquePaths()
	c.checkUniqueFields()
	c.checkUniqueHashes()
}

// checkItems checks the items of a section in order of name, so that the order of the messages is stable.
func checkItems[T any](c *checker, section Section, items map[string]T, check func(name string, item T)) {
	for _, name := range slices.Sorted(maps.Keys(items)) {
		if !IsName(name) {
			c.problems.add(section, name, "", "want a name of lower-case letters, digits, hyphens and dots")
			continue
		}

		check(name, items[name])
	}
}

func (c *checker) adaptersToCheck() map[string]Adapter {
	if c.allAdapters {
		return c.document.Adapters
	}

	changed := map[string]Adapter{}

	for _, name := range c.editedAdapters {
		if adapter, ok := c.document.Adapters[name]; ok {
			changed[name] = adapter
		}
	}

	return changed
}

func (c *checker) checkDefaults(section Section, name, prefix string, d Default) {
	above := func(field string, ok bool) {
		if !ok {
			c.problems.add(section, name, prefix+field, "must be above 0")
		}
	}

	above("timeout", d.Timeout > 0)
	above("output", d.Output > 0)
	above("body", d.Body > 0)
	above("limit", d.Limit > 0)
	above("ramp", d.Ramp > 0)
	above("weight", finitePositive(d.Weight))

	if d.Queue < 0 {
		c.problems.add(section, name, prefix+"queue", "must not be below 0")
	}

	if d.Ramp > d.Limit {
		c.problems.add(section, name, prefix+"ramp", "%d is above limit %d", d.Ramp, d.Limit)
	}
}

func finitePositive(value float64) bool {
	return value > 0 && !math.IsInf(value, 0) && !math.IsNaN(value)
}

func (c *checker) checkModel(name string, model Model) {
	if model.Context <= 0 {
		c.problems.add(SectionModel, name, "context", "must be above 0")
	}
}

func (c *checker) checkRoute(name string, route Route) {
	if !strings.HasPrefix(route.Path, "/") {
		c.problems.add(SectionRoute, name, "path", "%q does not start with /", route.Path)
	}

	if strings.HasPrefix(route.Path, "/ops/") {
		c.problems.add(SectionRoute, name, "path", "/ops/ is the operator API")
	}

	if route.Service != "" && !IsName(route.Service) {
		c.problems.add(SectionRoute, name, "service", "%q is not a name", route.Service)
	}

	if route.Open && route.Service == "" {
		c.problems.add(SectionRoute, name, "open", "a completion route needs a key")
	}

	c.checkRouteCost(name, route)
	c.checkRouteMethods(name, route)
}

func (c *checker) checkRouteCost(name string, route Route) {
	if route.Cost < 0 {
		c.problems.add(SectionRoute, name, "cost", "must not be below 0")
	}

	if route.Open && route.Cost != 0 {
		c.problems.add(SectionRoute, name, "cost", "must be 0 on an open route")
	}
}

func (c *checker) checkRouteMethods(name string, route Route) {
	if len(route.Methods) == 0 {
		c.problems.add(SectionRoute, name, "methods", "is empty")
	}

	for _, method := range route.Methods {
		if !slices.Contains(allowedMethods, method) {
			c.problems.add(SectionRoute, name, "methods", "%q is not an HTTP method", method)
		}
	}
}

func (c *checker) checkAccount(name string, account Account) {
	if name == reservedAccount {
		c.problems.add(SectionAccount, name, "", "is reserved for the load budget")
	}

	if !finitePositive(account.Rate) {
		c.problems.add(SectionAccount, name, "rate", "must be above 0 tokens per second")
	}

	if account.Burst <= 0 {
		c.problems.add(SectionAccount, name, "burst", "must be above 0 tokens")
	}

	for _, route := range account.Routes {
		if _, ok := c.document.Routes[route]; !ok {
			c.problems.add(SectionAccount, name, "routes", "there is no route %q", route)
		}
	}
}

func (c *checker) checkAdapter(name string, adapter Adapter) {
	if _, ok := c.document.Models[adapter.Model]; !ok {
		c.problems.add(SectionAdapter, name, "model", "there is no model %q", adapter.Model)
	}

	if len(adapter.Versions) == 0 {
		c.problems.add(SectionAdapter, name, "versions", "is empty")
	}

	for _, version := range adapter.Versions {
		if !IsName(version) {
			c.problems.add(SectionAdapter, name, "versions", "%q is not a name", version)
		}
	}

	if !slices.Contains(adapter.Versions, adapter.Pin) {
		c.problems.add(SectionAdapter, name, "pin", "%q is not among the versions", adapter.Pin)
	}

	for _, account := range adapter.Accounts {
		if _, ok := c.document.Accounts[account]; !ok {
			c.problems.add(SectionAdapter, name, "accounts", "there is no account %q", account)
		}
	}
}

func (c *checker) checkOutReason(section Section, name string, out bool, reason string) {
	if out && strings.TrimSpace(reason) == "" {
		c.problems.add(section, name, "reason", "is required to take it out of service")
	}
}

func (c *checker) checkUniquePaths() {
	routeByPath := map[string]string{}

	for _, name := range slices.Sorted(maps.Keys(c.document.Routes)) {
		path := c.document.Routes[name].Path
		if other, ok := routeByPath[path]; ok {
			c.problems.add(SectionRoute, name, "path", "%q is already the path of route %q", path, other)
		}

		routeByPath[path] = name
	}
}

func validHash(hash string) bool {
	_, err := hex.DecodeString(hash)

	return err == nil && len(hash) == hashHexLength && hash == strings.ToLower(hash)
}
