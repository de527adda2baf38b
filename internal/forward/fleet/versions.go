package fleet

import (
	"maps"
	"time"
)

// versionMemory is how long a version counts after the last server with it was listed: longer than a stream lasts that such a server may
// have begun.
const versionMemory = time.Minute

// versionKey names a software version of a service.
type versionKey struct {
	service, version string
}

// recordVersion records that a server with its version was listed until now. The lock must be held.
func (f *Fleet) recordVersion(now time.Time, server Server) {
	if f.versions == nil {
		f.versions = map[versionKey]time.Time{}
	}

	maps.DeleteFunc(f.versions, func(_ versionKey, until time.Time) bool { return now.Sub(until) > versionMemory })

	f.versions[versionKey{server.Service, server.Version}] = now
}

// SoleVersion returns the software version of all servers that may have begun a stream of a service which still goes on; false if there may
// be several, also because the list has not been known for long enough.
func (f *Fleet) SoleVersion(now time.Time, service string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.syncedAt.IsZero() || now.Sub(f.syncedAt) < versionMemory {
		return "", false
	}

	sole, found := "", false

	add := func(version string) bool {
		if found && version != sole {
			return false
		}

		sole, found = version, true

		return true
	}

	for _, server := range f.servers {
		if server.Service == service && !add(server.Version) {
			return "", false
		}
	}

	for key, until := range f.versions {
		if key.service == service && now.Sub(until) <= versionMemory && !add(key.version) {
			return "", false
		}
	}

	return sole, found
}
