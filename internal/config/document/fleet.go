package document

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/chestnutbeam/chestnutbeam/internal/config/locate"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Fleet is the part of the document that operators keep in a file. Applying a file does not change keys or the out states of
// failure domains and VMs, which have separate commands.
type Fleet struct {
	// Default has the values of Empty in the fields that the file does not set.
	Default   Default                   `yaml:"default"`
	Exception map[string]FleetException `yaml:"exception"`
	Account   map[string]Account        `yaml:"account"`
	Model     map[string]Model          `yaml:"model"`
	Adapter   map[string]Adapter        `yaml:"adapter"`
	Route     map[string]Route          `yaml:"route"`
}

// FleetException is an Exception without the fields that a commit sets.
type FleetException struct {
	Scope  Scope  `yaml:"scope"`
	Target string `yaml:"target"`
	Set    Patch  `yaml:"set"`
	Reason string `yaml:"reason"`
}

// fleetSections lists the sections of the file.
var fleetSections = []Section{
	SectionDefault, SectionModel, SectionRoute, SectionAccount, SectionAdapter, SectionException,
}

// ParseFleet reads a strict YAML fleet file and validates it. Errors carry the line.
func ParseFleet(data []byte) (*Fleet, error) {
	fleet := &Fleet{Default: Empty().Default}

	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField())
	if err := decoder.Decode(fleet); err != nil {
		return nil, fault.New(fault.InvalidRequest, "fleet file: %s", yaml.FormatError(err, false, true))
	}

	check := checker{document: fleet.applyTo(Empty()), allAdapters: true}
	check.run()

	if len(check.problems) > 0 {
		return nil, fault.New(fault.InvalidRequest, "fleet file:\n%s", formatProblems(data, check.problems))
	}

	return fleet, nil
}

// Edits returns the edits that make a document match the file.
func (f *Fleet) Edits(d *Document) ([]Edit, error) {
	return diffSections(d, f.applyTo(d), fleetSections)
}

// applyTo returns a copy of the document with the sections of the file replaced.
func (f *Fleet) applyTo(d *Document) *Document {
	next := *d
	next.Default = f.Default
	next.Accounts = f.Account
	next.Models = f.Model
	next.Adapters = f.Adapter
	next.Routes = f.Route
	next.Exceptions = make(map[string]Exception, len(f.Exception))

	for name, item := range f.Exception {
		next.Exceptions[name] = Exception{Scope: item.Scope, Target: item.Target, Set: item.Set, Reason: item.Reason}
	}

	return &next
}

// formatProblems returns one line for each problem, with the line number of the field, its item or its section.
func formatProblems(data []byte, problems Problems) string {
	file := locate.Parse(data)
	lines := make([]string, 0, len(problems))

	for _, problem := range problems[:min(len(problems), maxShownProblems)] {
		lines = append(lines, fmt.Sprintf("line %d: %s", file.Line(problem.path()...), problem))
	}

	if hidden := len(problems) - len(lines); hidden > 0 {
		lines = append(lines, fmt.Sprintf("%d more", hidden))
	}

	return strings.Join(lines, "\n")
}

// path returns the path of the field, or of the item, in a fleet file.
func (p Problem) path() []string {
	path := []string{string(p.Section)}
	if p.Section != SectionDefault {
		path = append(path, p.Name)
	}

	if p.Field != "" {
		path = append(path, strings.Split(p.Field, ".")...)
	}

	return path
}
