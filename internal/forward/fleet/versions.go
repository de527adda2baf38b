package fleet

import (
	"maps"
	"slices"
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

// Versions returns the software versions of the servers that may have begun a stream of a service which still goes on, as far as they are
// known, in order, and whether there were no others. There may have been others before the list was first read.
func (f *Fleet) Versions(now time.Time, service string) (versions []string, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	versions = f.knownVersions(now, service)
	complete = f.FromStart || f.earlier[service] || f.synced && now.Sub(f.syncedAt) >= versionMemory

	return versions, complete && f.synced
}

// knownVersions returns the versions that are or were listed, in order. The lock must be held.
func (f *Fleet) knownVersions(now time.Time, service string) []string {
	var versions []string

	for _, server := range f.servers {
		if server.Service == service {
			versions = append(versions, server.Version)
		}
	}

	for key, until := range f.versions {
		if key.service == service && now.Sub(until) <= versionMemory {
			versions = append(versions, key.version)
		}
	}

	slices.Sort(versions)

	return slices.Compact(versions)
}

// SoleVersion returns the software version of all servers that may have begun a stream of a service which still goes on; false if there may
// be several.
func (f *Fleet) SoleVersion(now time.Time, service string) (string, bool) {
	versions, complete := f.Versions(now, service)
	if !complete || len(versions) != 1 {
		return "", false
	}

	return versions[0], true
}

// AdoptVersion records that all servers of a service had one version before the list was first read.
func (f *Fleet) AdoptVersion(now time.Time, service, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	known := f.knownVersions(now, service)
	if len(known) != 1 || known[0] != version {
		return
	}

	if f.earlier == nil {
		f.earlier = map[string]bool{}
	}

	f.earlier[service] = true
}
