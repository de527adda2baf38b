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

// Diff returns the edits that turn one document into another, in order of section and name. Authors and times, which
// a commit fills in, do not count as differences.
func Diff(from, to *Document) ([]Edit, error) {
	return diff(from, to, sections)
}

func diff(from, to *Document, only []Section) ([]Edit, error) {
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
		return compare(section, map[string]Default{DefaultName: from.Default}, map[string]Default{DefaultName: to.Default}, same[Default])
	case SectionException:
		return compare(section, from.Exceptions, to.Exceptions, plainException)
	case SectionAccount:
		return compare(section, from.Accounts, to.Accounts, same[Account])
	case SectionKey:
		return compare(section, from.Keys, to.Keys, same[Key])
	case SectionDomain:
		return compare(section, from.Domains, to.Domains, plainDomain)
	case SectionVM:
		return compare(section, from.VMs, to.VMs, plainVM)
	case SectionModel:
		return compare(section, from.Models, to.Models, same[Model])
	case SectionAdapter:
		return compare(section, from.Adapters, to.Adapters, same[Adapter])
	case SectionRoute:
		return compare(section, from.Routes, to.Routes, same[Route])
	default:
		return nil, errors.Newf("unknown section %q", section)
	}
}

func compare[T any](section Section, from, to map[string]T, plain func(T) T) ([]Edit, error) {
	var edits []Edit

	for _, name := range slices.Sorted(maps.Keys(from)) {
		if _, ok := to[name]; !ok {
			edits = append(edits, Edit{Section: section, Name: name})
		}
	}

	for _, name := range slices.Sorted(maps.Keys(to)) {
		value, err := json.Marshal(plain(to[name]))
		if err != nil {
			return nil, errors.Wrapf(err, "encode %q", name)
		}

		if old, ok := from[name]; ok {
			before, err := json.Marshal(plain(old))
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

func same[T any](item T) T { return item }

func plainException(item Exception) Exception {
	item.Author = ""
	item.Time = time.Time{}

	return item
}

// EqualContent reports whether two exceptions differ at most in author and time.
func (e Exception) EqualContent(other Exception) bool {
	return reflect.DeepEqual(plainException(e), plainException(other))
}

func plainDomain(item Domain) Domain {
	item.Since = time.Time{}
	return item
}

func plainVM(item VM) VM {
	item.Since = time.Time{}
	return item
}
