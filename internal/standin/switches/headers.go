package switches

import "slices"

// valueLimit is the number of different values kept of each header.
const valueLimit = 64

// Headers records the values of received headers. It is not safe for concurrent use.
type Headers struct {
	values map[string][]string
}

// Add records one value.
func (h *Headers) Add(name, value string) {
	if h.values == nil {
		h.values = map[string][]string{}
	}

	known := h.values[name]
	if len(known) < valueLimit && !slices.Contains(known, value) {
		h.values[name] = append(known, value)
	}
}

// Values returns a copy of what was recorded.
func (h *Headers) Values() map[string][]string {
	values := make(map[string][]string, len(h.values))
	for name, known := range h.values {
		values[name] = slices.Clone(known)
	}

	return values
}
