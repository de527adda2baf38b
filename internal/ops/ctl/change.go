package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
)

// maxChangeBytes bounds the encoded edits of one change, well below the size limit of the table service.
const maxChangeBytes = 512 << 10

// Diff prints the edits that a fleet file would make.
type Diff struct {
	File string `arg:"positional,required"`
}

func (d *Diff) run(ctx context.Context, s *session) error {
	diff, err := s.diff(ctx, d.File)
	if err != nil {
		return err
	}

	return s.print(diff, func(out io.Writer) {
		printLine(out, "%d edits on version %d", len(diff.Edits), diff.Version)
		printEdits(out, diff.Edits)
	})
}

// Apply applies a fleet file.
type Apply struct {
	File    string `arg:"positional,required"`
	Reason  string `arg:"--reason,required" help:"why; kept in the audit trail"`
	Version *int64 `arg:"--version" help:"refuse if the fleet has another version than this one"`
}

// run commits the edits. Edits that do not fit into one change are committed as several, in an order in which each change
// leaves a valid document: items first, then the deletions in reverse order of their sections.
func (a *Apply) run(ctx context.Context, s *session) error {
	diff, err := s.diff(ctx, a.File)
	if err != nil {
		return err
	}

	version := diff.Version
	if a.Version != nil {
		version = *a.Version
	}

	if len(diff.Edits) == 0 && version == diff.Version {
		return s.reportOutcome(ctx, api.Outcome{Version: version, Unchanged: true})
	}

	var outcome api.Outcome

	for _, part := range splitEdits(diff.Edits) {
		request := api.Change{ID: ident.New("change"), Version: version, Reason: a.Reason, Edits: part}

		if err := s.client.Post(ctx, "/change", request, &outcome); err != nil {
			return err
		}

		version = outcome.Version
	}

	return s.reportOutcome(ctx, outcome)
}

// diff compares the file with the document locally, not at an entry: parsing a file with 40,000 adapters takes 420 MB, more
// memory than an entry process may use for control-plane work.
func (s *session) diff(ctx context.Context, path string) (api.Diff, error) {
	var diff api.Diff

	data, err := os.ReadFile(path)
	if err != nil {
		return diff, usageError("%v", err)
	}

	fleet, err := document.ParseFleet(data)
	if err != nil {
		return diff, usageError("%w", err)
	}

	var d document.Document
	if err := s.client.Get(ctx, "/document", nil, &d); err != nil {
		return diff, err
	}

	diff.Version = d.Version
	diff.Edits, err = fleet.Edits(&d)

	return diff, err
}

// splitEdits splits the edits into parts of at most maxChangeBytes; edits that fit into one part keep their order.
func splitEdits(edits []document.Edit) [][]document.Edit {
	if encodedSize(edits...) <= maxChangeBytes {
		return [][]document.Edit{edits}
	}

	var ordered, deletions []document.Edit

	for _, edit := range edits {
		if len(edit.Value) == 0 {
			deletions = append(deletions, edit)
		} else {
			ordered = append(ordered, edit)
		}
	}

	slices.Reverse(deletions)
	ordered = append(ordered, deletions...)

	var (
		parts [][]document.Edit
		part  []document.Edit
		bytes int
	)

	for _, edit := range ordered {
		if bytes+encodedSize(edit) > maxChangeBytes && len(part) > 0 {
			parts = append(parts, part)
			part = nil
			bytes = 0
		}

		part = append(part, edit)
		bytes += encodedSize(edit)
	}

	return append(parts, part)
}

// encodedSize estimates the JSON size of edits in bytes, including the field names and punctuation.
func encodedSize(edits ...document.Edit) int {
	const overheadPerEdit = 48

	total := 0
	for _, edit := range edits {
		total += overheadPerEdit + len(edit.Section) + len(edit.Name) + len(edit.Value)
	}

	return total
}

// Show prints a summary of the document or the items of a section.
type Show struct {
	Section string `arg:"positional" help:"such as account or adapter"`
	Name    string `arg:"positional" help:"one item of the section"`
}

func (c *Show) run(ctx context.Context, s *session) error {
	var d document.Document
	if err := s.client.Get(ctx, "/document", nil, &d); err != nil {
		return err
	}

	if c.Section == "" {
		return s.print(d, func(out io.Writer) { printDocument(out, &d) })
	}

	edits, err := document.Diff(document.Empty(), &d)
	if err != nil {
		return errors.Wrap(err, "list items")
	}

	if c.Section == string(document.SectionDefault) {
		edits, err = defaultEdits(&d)
		if err != nil {
			return err
		}
	}

	edits = slices.DeleteFunc(edits, func(edit document.Edit) bool {
		return string(edit.Section) != c.Section || (c.Name != "" && edit.Name != c.Name)
	})

	if len(edits) == 0 {
		return usageError("there is no %s %s", c.Section, c.Name)
	}

	return s.print(edits, func(out io.Writer) { printEdits(out, edits) })
}

func defaultEdits(d *document.Document) ([]document.Edit, error) {
	value, err := json.Marshal(d.Default)

	return []document.Edit{{Section: document.SectionDefault, Name: document.DefaultName, Value: value}}, errors.Wrap(err, "encode defaults")
}

func printDocument(out io.Writer, d *document.Document) {
	printLine(out, "version %d", d.Version)
	printLine(out, "%d accounts, %d keys, %d models, %d adapters, %d routes", len(d.Accounts), len(d.Keys), len(d.Models), len(d.Adapters), len(d.Routes))
	printLine(out, "%d exceptions, %d failure domains and %d VMs with a state", len(d.Exceptions), len(d.Domains), len(d.VMs))
	printLine(out, "name a section to list its items, or use --json for the whole document")
}

func printEdits(out io.Writer, edits []document.Edit) {
	for _, edit := range edits {
		if len(edit.Value) == 0 {
			printLine(out, "- %s %s", edit.Section, edit.Name)
		} else {
			printLine(out, "+ %s %s %s", edit.Section, edit.Name, edit.Value)
		}
	}
}

func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
