package origin

import (
	"maps"
	"slices"
	"time"
)

// statementLifetime is how long what an entry has stated counts: as long as an entry itself counts a version that is no longer listed.
const statementLifetime = time.Minute

// History is what an agent knows of the software versions that servers of its service have had within the last minute, from entries. Entries
// that start learn from it what was listed before. An entry that is out of step may lack a version that others have stated. The zero value
// knows nothing. It is not safe for concurrent use.
type History struct {
	// statements is keyed by entry.
	statements map[string]statement
}

// statement is what one entry has stated.
type statement struct {
	versions []string
	at       time.Time
	// completeAt is when the entry last stated all versions; zero if it never has.
	completeAt time.Time
}

// Observe records the versions that an entry knows of, and whether they are all of the last minute.
func (h *History) Observe(now time.Time, entry string, versions []string, complete bool) {
	if h.statements == nil {
		h.statements = map[string]statement{}
	}

	maps.DeleteFunc(h.statements, func(_ string, s statement) bool { return now.Sub(s.at) > statementLifetime })

	stated := h.statements[entry]
	stated.at = now

	if complete {
		stated.versions, stated.completeAt = slices.Clone(versions), now
	} else {
		// An entry that has started since does not know what it stated before.
		stated.versions = union(stated.versions, versions)
	}

	h.statements[entry] = stated
}

// Sole returns the only version; false if there were several, or it is not known that there were no others.
func (h *History) Sole(now time.Time) (string, bool) {
	var versions []string

	complete := false

	for _, stated := range h.statements {
		if now.Sub(stated.at) > statementLifetime {
			continue
		}

		versions = union(versions, stated.versions)
		complete = complete || !stated.completeAt.IsZero() && now.Sub(stated.completeAt) <= statementLifetime
	}

	if !complete || len(versions) != 1 {
		return "", false
	}

	return versions[0], true
}

// union returns the versions in any of two lists, in order.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)

	return slices.Compact(all)
}
