package quarantine

import "strings"

// Kind is the kind of a subject.
type Kind string

// The kinds of subjects.
const (
	// Part is a prompt part, which several requests share.
	Part Kind = "part"
	// Request is one request that is sent again and again.
	Request Kind = "request"
	// Adapter is an adapter that is to be loaded.
	Adapter Kind = "adapter"
)

// prefix marks the subjects of a kind other than Part.
func (k Kind) prefix() string {
	return string(k) + "/"
}

// KindOf returns the kind of a subject.
func KindOf(subject string) Kind {
	for _, kind := range []Kind{Request, Adapter} {
		if strings.HasPrefix(subject, kind.prefix()) {
			return kind
		}
	}

	return Part
}

// RequestSubject returns the subject of the request with a digest.
func RequestSubject(digest string) string {
	return Request.prefix() + digest
}

// AdapterSubject returns the subject of an adapter of a model.
func AdapterSubject(model, name string) string {
	return Adapter.prefix() + model + "/" + name
}
