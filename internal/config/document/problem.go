package document

import (
	"fmt"
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// maxShownProblems is the maximum number of problems in an error message.
const maxShownProblems = 20

// Problem is one validation error in a document or change.
type Problem struct {
	Section Section `json:"section"`
	// Name is the name of the item.
	Name string `json:"name"`
	// Field is empty when the error concerns the whole item.
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

// Problems collects validation errors, so that an operator sees all of them at once.
type Problems []Problem

// Err returns nil if there are no problems, or an error of kind InvalidRequest with one line for each.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}

	err := fault.New(fault.InvalidRequest, "nothing was applied: %s", p)

	return err.WithParam(fmt.Sprintf("%s.%s", p[0].Section, p[0].Name))
}

// String returns the problems, one for each line.
func (p Problems) String() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p[:min(len(p), maxShownProblems)] {
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
