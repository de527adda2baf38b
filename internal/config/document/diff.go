package document

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Diff returns the edits that turn one document into another, in order of section and name. It ignores authors and times,
// which a commit sets.
func Diff(from, to *Document) ([]Edit, error) {
	return diffSections(from, to, sections)
}

func diffSections(from, to *Document, only []Section) ([]Edit, error) {
	var edits []Edit

	for _, section := range only {
		found, err := diffSection(section, from, to)
		if err != nil {
			return nil, errors.Wrapf(err, "compare section %s", section)
		}

		edits = append(edits, found...)
	}

	return edits, nil
}

func diffSection(section Section, from, to *Document) ([]Edit, error) {
	switch section {
	case SectionDefault:
		return compare(section, map[string]Default{DefaultName: from.Default}, map[string]Default{DefaultName: to.Default}, identity[Default])
	case SectionException:
		return compare(section, from.Exceptions, to.Exceptions, clearExceptionAudit)
	case SectionAccount:
		return compare(section, from.Accounts, to.Accounts, identity[Account])
	case SectionKey:
		return compare(section, from.Keys, to.Keys, identity[Key])
	case SectionDomain:
		return compare(section, from.Domains, to.Domains, clearDomainSince)
	case SectionVM:
		return compare(section, from.VMs, to.VMs, clearVMSince)
	case SectionModel:
		return compare(section, from.Models, to.Models, identity[Model])
	case SectionAdapter:
		return compare(section, from.Adapters, to.Adapters, identity[Adapter])
	case SectionRoute:
		return compare(section, from.Routes, to.Routes, identity[Route])
	default:
		return nil, errors.Newf("unknown section %q", section)
	}
}

// compare returns the edits of one section; normalize clears the fields that a commit sets.
func compare[T any](section Section, from, to map[string]T, normalize func(T) T) ([]Edit, error) {
	var edits []Edit

	for _, name := range slices.Sorted(maps.Keys(from)) {
		if _, ok := to[name]; !ok {
			edits = append(edits, Edit{Section: section, Name: name})
		}
	}

	for _, name := range slices.Sorted(maps.Keys(to)) {
		value, err := json.Marshal(normalize(to[name]))
		if err != nil {
			return nil, errors.Wrapf(err, "encode %q", name)
		}

		if old, ok := from[name]; ok {
			before, err := json.Marshal(normalize(old))
			if err != nil {
				return nil, errors.Wrapf(err, "encode %q", name)
			}

			if bytes.Equal(before, value) {
				continue
			}
		}

		edits = append(edits, Edit{Section: section, Name: name, Value: value})
	}

	return edits, nil
}

func identity[T any](item T) T { return item }

func clearExceptionAudit(item Exception) Exception {
	item.Author = ""
	item.Time = time.Time{}

	return item
}

// EqualContent reports whether two exceptions are equal apart from author and time.
func (e Exception) EqualContent(other Exception) bool {
	return reflect.DeepEqual(clearExceptionAudit(e), clearExceptionAudit(other))
}

func clearDomainSince(item Domain) Domain {
	item.Since = time.Time{}
	return item
}

func clearVMSince(item VM) VM {
	item.Since = time.Time{}
	return item
}
