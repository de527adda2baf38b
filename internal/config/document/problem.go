package document

import (
	"fmt"
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// shownProblems bounds the length of an error message.
const shownProblems = 20

// Problem is one fault in a document or change.
type Problem struct {
	Section Section `json:"section"`
	Name    string  `json:"name"`
	// Field is empty when the whole item is at fault.
	Field string `json:"field,omitempty"`
	Text  string `json:"text"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s %q: %s", p.Section, p.Name, p.Text)
	}

	return fmt.Sprintf("%s %q: %s: %s", p.Section, p.Name, p.Field, p.Text)
}

// Problems collects faults, so that an operator sees all of them at once.
type Problems []Problem

// Err returns nil without problems, or an error of kind InvalidRequest with one line for each.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}

	err := fault.New(fault.InvalidRequest, "nothing was applied: %s", p)

	return err.WithParam(fmt.Sprintf("%s.%s", p[0].Section, p[0].Name))
}

// String returns the problems, one on a line.
func (p Problems) String() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p[:min(len(p), shownProblems)] {
		lines = append(lines, problem.String())
	}

	if hidden := len(p) - len(lines); hidden > 0 {
		lines = append(lines, fmt.Sprintf("%d more", hidden))
	}

	return strings.Join(lines, "\n")
}

func (p *Problems) add(section Section, name, field, format string, args ...any) {
	*p = append(*p, Problem{Section: section, Name: name, Field: field, Text: fmt.Sprintf(format, args...)})
}
