package watch

import "slices"

// maxSeenVersions is the number of versions that are remembered for each row. A copy of the store is some seconds old, so that its rows
// are among the latest.
const maxSeenVersions = 16

// seenVersions holds the latest versions of each row that were read, oldest first. After a restore of the store they tell the rows of the
// copy from those that were written since: versions are given out again, but a row rarely gets one that it had before.
type seenVersions map[string][]int64

// record remembers a version of a row.
func (s seenVersions) record(key string, version int64) {
	if s.has(key, version) {
		return
	}

	s[key] = append(s[key], version)
	s[key] = s[key][max(len(s[key])-maxSeenVersions, 0):]
}

// has reports whether a version of a row was read.
func (s seenVersions) has(key string, version int64) bool {
	return slices.Contains(s[key], version)
}

// retain forgets the rows for which keep is false.
func (s seenVersions) retain(keep func(key string) bool) {
	for key := range s {
		if !keep(key) {
			delete(s, key)
		}
	}
}
