package document

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Fleet is the part of the document that operators keep in a file. Keys and the out states of failure domains and VMs
// have commands of their own and are left as they are when a file is applied.
type Fleet struct {
	// Default fields that the file leaves out have the built-in values of Empty.
	Default   Default                   `yaml:"default"`
	Exception map[string]FleetException `yaml:"exception"`
	Account   map[string]Account        `yaml:"account"`
	Model     map[string]Model          `yaml:"model"`
	Adapter   map[string]Adapter        `yaml:"adapter"`
	Route     map[string]Route          `yaml:"route"`
}

// FleetException is an Exception without the fields that a commit fills in.
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

	check := checker{document: fleet.onto(Empty()), every: true}
	check.run()

	if len(check.problems) > 0 {
		return nil, fault.New(fault.InvalidRequest, "fleet file:\n%s", locate(data, check.problems))
	}

	return fleet, nil
}

// Edits returns what has to change in a document to match the file.
func (f *Fleet) Edits(d *Document) ([]Edit, error) {
	return diff(d, f.onto(d), fleetSections)
}

// onto returns the document with the sections of the file replaced.
func (f *Fleet) onto(d *Document) *Document {
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

// locate returns one line for each problem, with the line number of the field, its item or its section.
func locate(data []byte, problems Problems) string {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return problems.String()
	}

	lines := make([]string, 0, len(problems))
	for _, problem := range problems[:min(len(problems), shownProblems)] {
		lines = append(lines, fmt.Sprintf("line %d: %s", lineOf(file, problem), problem))
	}

	if hidden := len(problems) - len(lines); hidden > 0 {
		lines = append(lines, fmt.Sprintf("%d more", hidden))
	}

	return strings.Join(lines, "\n")
}

// lineOf follows the path of a problem as deep as the file has it.
func lineOf(file *ast.File, problem Problem) int {
	steps := []string{string(problem.Section)}
	if problem.Section != SectionDefault {
		steps = append(steps, problem.Name)
	}

	if problem.Field != "" {
		steps = append(steps, strings.Split(problem.Field, ".")...)
	}

	line := 1

	if len(file.Docs) == 0 {
		return line
	}

	node := file.Docs[0].Body

	for _, step := range steps {
		key, value := child(node, step)
		if key == nil {
			break
		}

		line = key.GetToken().Position.Line
		node = value
	}

	return line
}

func child(node ast.Node, name string) (key, value ast.Node) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		return nil, nil
	}

	for _, entry := range mapping.Values {
		if entry.Key.GetToken().Value == name {
			return entry.Key, entry.Value
		}
	}

	return nil, nil
}
