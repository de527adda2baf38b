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

// Empty returns the document before the first change. Its defaults let the processes run before an operator sets any.
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

// Apply checks the change and returns the next document. The receiver stays as it is.
func (d *Document) Apply(change Change) (*Document, error) {
	if change.Version != d.Version+1 {
		return nil, fault.New(fault.Conflict, "change is for version %d, the document has version %d", change.Version, d.Version)
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

// Replay applies committed changes, which were checked when they were committed. Fields that this process does not
// know are ignored, so that processes of two releases can run side by side.
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

// builder makes a document from another one and copies a section only when it changes, once.
type builder struct {
	document *Document
	owned    map[Section]bool
	strict   bool
}

func newBuilder(from *Document) *builder {
	document := *from

	return &builder{document: &document, owned: map[Section]bool{}}
}

func (b *builder) apply(change Change) Problems {
	var problems Problems

	b.document.Version = change.Version

	for _, edit := range change.Edits {
		if err := b.edit(edit, change); err != nil {
			problems.add(edit.Section, edit.Name, "", "%s", err)
		}
	}

	return problems
}

func (b *builder) edit(edit Edit, change Change) error {
	d := b.document

	switch edit.Section {
	case SectionDefault:
		return b.setDefault(edit.Value)
	case SectionException:
		return put(b, edit, &d.Exceptions, func(_, item Exception) Exception { return stampException(item, change) })
	case SectionAccount:
		return put(b, edit, &d.Accounts, keep[Account])
	case SectionKey:
		return put(b, edit, &d.Keys, keepRevoked)
	case SectionDomain:
		return put(b, edit, &d.Domains, func(old, item Domain) Domain { return stampDomain(old, item, change) })
	case SectionVM:
		return put(b, edit, &d.VMs, func(old, item VM) VM { return stampVM(old, item, change) })
	case SectionModel:
		return put(b, edit, &d.Models, keep[Model])
	case SectionAdapter:
		return put(b, edit, &d.Adapters, keep[Adapter])
	case SectionRoute:
		return put(b, edit, &d.Routes, keep[Route])
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

func put[T any](b *builder, edit Edit, items *map[string]T, finish func(old, item T) T) error {
	if !b.owned[edit.Section] {
		*items = maps.Clone(*items)
		b.owned[edit.Section] = true
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

func keep[T any](_, item T) T { return item }

// keepRevoked makes a revocation final even if a committed change said otherwise.
func keepRevoked(old, item Key) Key {
	if old.Revoked {
		item.Revoked = true
	}

	return item
}

func stampException(item Exception, change Change) Exception {
	item.Author = change.Author
	item.Time = change.Time

	return item
}

func stampDomain(old, item Domain, change Change) Domain {
	item.Since = since(old.Out, item.Out, old.Since, change.Time)
	return item
}

func stampVM(old, item VM, change Change) VM {
	item.Since = since(old.Out, item.Out, old.Since, change.Time)
	return item
}

func since(wasOut, isOut bool, before, now time.Time) time.Time {
	if wasOut == isOut && !before.IsZero() {
		return before
	}

	return now
}

// CheckNewer asserts that next follows d: a higher version in which no revoked key is valid again.
func (d *Document) CheckNewer(next *Document) {
	invariant.Check(next.Version > d.Version, "config.version", "version %d would replace %d", next.Version, d.Version)

	for id, key := range d.Keys {
		if key.Revoked {
			invariant.Check(next.Keys[id].Revoked, "config.revoked", "key %s would be valid again in version %d", id, next.Version)
		}
	}
}
