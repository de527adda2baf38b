package origin

import "slices"

// History is what an agent knows of the software versions that servers of its service have had within the last minute, from entries. Entries
// that start learn from it what was listed before. The zero value knows nothing. It is not safe for concurrent use.
type History struct {
	versions []string
	// complete is true once an entry has stated all versions.
	complete bool
}

// Observe records the versions that an entry knows of, and whether they are all of the last minute.
func (h *History) Observe(versions []string, complete bool) {
	if complete {
		h.versions, h.complete = versions, true
		return
	}

	for _, version := range versions {
		if !slices.Contains(h.versions, version) {
			h.versions = append(slices.Clone(h.versions), version)
		}
	}
}

// Sole returns the only version; false if there were several, or it is not known that there were no others.
func (h *History) Sole() (string, bool) {
	if !h.complete || len(h.versions) != 1 {
		return "", false
	}

	return h.versions[0], true
}
