package document

import (
	"bytes"
	"encoding/json"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
)

// Empty returns the document at version 0. Its defaults let the processes run before an operator sets any.
func Empty() *Document {
	return &Document{
		Default: Default{
			Timeout: Duration(time.Minute),
			Output:  512,
			Body:    1 << 20,
			Limit:   16,
			Ramp:    2,
			Queue:   64,
			Weight:  1,
		},
		Exceptions: map[string]Exception{},
		Accounts:   map[string]Account{},
		Keys:       map[string]Key{},
		Domains:    map[string]Domain{},
		VMs:        map[string]VM{},
		Models:     map[string]Model{},
		Adapters:   map[string]Adapter{},
		Routes:     map[string]Route{},
	}
}

// Apply validates the change and returns the next document. It does not modify the receiver.
func (d *Document) Apply(change Change) (*Document, error) {
	if change.Version != d.Version+1 {
		return nil, fault.New(fault.Conflict, "the change is for version %d, but the document has version %d", change.Version, d.Version)
	}

	next := newBuilder(d)
	next.strict = true

	problems := checkEdits(change.Edits)
	if len(problems) > 0 {
		return nil, problems.Err()
	}

	problems = next.apply(change)
	if len(problems) > 0 {
		return nil, problems.Err()
	}

	if err := validateChange(d, next.document, change.Edits).Err(); err != nil {
		return nil, err
	}

	return next.document, nil
}

// Replay applies committed changes without validating them again. It ignores unknown fields, so that processes of two releases
// can run side by side.
func (d *Document) Replay(changes []Change) (*Document, error) {
	next := newBuilder(d)

	for _, change := range changes {
		if change.Version != next.document.Version+1 {
			return nil, fault.New(fault.Internal, "log entry %d does not follow version %d", change.Version, next.document.Version)
		}

		if problems := next.apply(change); len(problems) > 0 {
			return nil, fault.New(fault.Internal, "log entry %d: %s", change.Version, problems)
		}
	}

	return next.document, nil
}

// builder builds a document from another one, and copies a section once, at its first change.
type builder struct {
	document *Document
	// cloned is the set of the sections that are copied already.
	cloned map[Section]bool
	// strict rejects unknown fields.
	strict bool
}

func newBuilder(from *Document) *builder {
	document := *from

	return &builder{document: &document, cloned: map[Section]bool{}}
}

func (b *builder) apply(change Change) Problems {
	var problems Problems

	b.document.Version = change.Version

	for _, edit := range change.Edits {
		if err := b.applyEdit(edit, change); err != nil {
			problems.add(edit.Section, edit.Name, "", "%s", err)
		}
	}

	return problems
}

func (b *builder) applyEdit(edit Edit, change Change) error {
	d := b.document

	switch edit.Section {
	case SectionDefault:
		return b.setDefault(edit.Value)
	case SectionException:
		return putItem(b, edit, &d.Exceptions, func(_, item Exception) Exception { return setExceptionAudit(item, change) })
	case SectionAccount:
		return putItem(b, edit, &d.Accounts, keepItem[Account])
	case SectionKey:
		return putItem(b, edit, &d.Keys, preserveRevoked)
	case SectionDomain:
		return putItem(b, edit, &d.Domains, func(old, item Domain) Domain { return setDomainSince(old, item, change) })
	case SectionVM:
		return putItem(b, edit, &d.VMs, func(old, item VM) VM { return setVMSince(old, item, change) })
	case SectionModel:
		return putItem(b, edit, &d.Models, keepItem[Model])
	case SectionAdapter:
		return putItem(b, edit, &d.Adapters, keepItem[Adapter])
	case SectionRoute:
		return putItem(b, edit, &d.Routes, keepItem[Route])
	default:
		return errors.New("unknown section")
	}
}

func (b *builder) setDefault(value json.RawMessage) error {
	var item Default
	if err := b.decode(value, &item); err != nil {
		return err
	}

	b.document.Default = item

	return nil
}

// putItem sets or deletes one item of a section; finish completes a new item from the old one.
func putItem[T any](b *builder, edit Edit, items *map[string]T, finish func(old, item T) T) error {
	if !b.cloned[edit.Section] {
		*items = maps.Clone(*items)
		b.cloned[edit.Section] = true
	}

	if *items == nil {
		*items = map[string]T{}
	}

	if len(edit.Value) == 0 {
		delete(*items, edit.Name)
		return nil
	}

	var item T
	if err := b.decode(edit.Value, &item); err != nil {
		return err
	}

	(*items)[edit.Name] = finish((*items)[edit.Name], item)

	return nil
}

func (b *builder) decode(value json.RawMessage, into any) error {
	if bytes.Equal(bytes.TrimSpace(value), []byte("null")) {
		return errors.New("value is null; want an object, or no value to delete the item")
	}

	decoder := json.NewDecoder(bytes.NewReader(value))
	if b.strict {
		decoder.DisallowUnknownFields()
	}

	err := decoder.Decode(into)

	var known *fault.Error
	if errors.As(err, &known) {
		return errors.New(known.Message)
	}

	return err
}

func keepItem[T any](_, item T) T { return item }

// preserveRevoked keeps a revoked key revoked even if a committed change sets it to valid.
func preserveRevoked(old, item Key) Key {
	if old.Revoked {
		item.Revoked = true
	}

	return item
}

func setExceptionAudit(item Exception, change Change) Exception {
	item.Author = change.Author
	item.Time = change.Time

	return item
}

func setDomainSince(old, item Domain, change Change) Domain {
	item.Since = stateSince(old.Out, item.Out, old.Since, change.Time)
	return item
}

func setVMSince(old, item VM, change Change) VM {
	item.Since = stateSince(old.Out, item.Out, old.Since, change.Time)
	return item
}

// stateSince returns when the out state last changed.
func stateSince(wasOut, isOut bool, before, now time.Time) time.Time {
	if wasOut == isOut && !before.IsZero() {
		return before
	}

	return now
}

// CheckNewer asserts that next has a higher version than d and that no revoked key of d is valid in it.
func (d *Document) CheckNewer(next *Document) {
	invariant.Check(next.Version > d.Version, "config.version", "version %d would replace %d", next.Version, d.Version)

	for id, key := range d.Keys {
		if key.Revoked {
			invariant.Check(next.Keys[id].Revoked, "config.revoked", "key %s would be valid again in version %d", id, next.Version)
		}
	}
}
