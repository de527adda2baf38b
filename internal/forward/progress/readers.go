package progress

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxReaders is the number of readers among many entries; below entriesPerReader entries there is one.
	MaxReaders       = 2
	entriesPerReader = 20
	// readerMaxAge is the age of an entry's own confirmation above which others are preferred as readers: the store may be out
	// of its reach.
	readerMaxAge = 3 * time.Second
)

// Candidate is an entry that may become a reader.
type Candidate struct {
	Name string
	// Age is the age of the last confirmation that the entry published; it is valid if Published is true.
	Age       time.Duration
	Published bool
}

// fresh reports whether the store confirmed something to the entry recently.
func (c Candidate) fresh() bool {
	return c.Published && c.Age < readerMaxAge
}

// Readers returns the names of the entries that are to watch the store. Agents that know the same entries return the same names.
func Readers(candidates []Candidate) []string {
	sorted := slices.Clone(candidates)

	slices.SortFunc(sorted, func(a, b Candidate) int {
		if a.fresh() != b.fresh() {
			if a.fresh() {
				return -1
			}

			return 1
		}

		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})

	count := min(len(sorted), MaxReaders, 1+len(sorted)/entriesPerReader)
	names := make([]string, count)

	for i := range names {
		names[i] = sorted[i].Name
	}

	return names
}
