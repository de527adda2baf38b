package switches

import "slices"

// maxValues is the maximum number of different values kept for each header.
const maxValues = 64

// Headers records the values of received headers. It is not safe for concurrent use.
type Headers struct {
	values map[string][]string
}

// Add records a value of a header, unless the value is known or maxValues values of the header are.
func (h *Headers) Add(name, value string) {
	if h.values == nil {
		h.values = map[string][]string{}
	}

	known := h.values[name]
	if len(known) < maxValues && !slices.Contains(known, value) {
		h.values[name] = append(known, value)
	}
}

// Values returns a copy of the recorded values by header name.
func (h *Headers) Values() map[string][]string {
	values := make(map[string][]string, len(h.values))
	for name, known := range h.values {
		values[name] = slices.Clone(known)
	}

	return values
}
