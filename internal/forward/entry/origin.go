package entry

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
)

// Origins finds where streams began that began at other entries, and has the begins of streams remembered elsewhere.
type Origins interface {
	// Find returns the begin of a stream by the id of the attempt that brought its first event; false if nobody knows it.
	Find(ctx context.Context, attempt string) (origin.Begin, bool)
	// Record has the begin of a stream remembered.
	Record(attempt string, begin origin.Begin)
}

// originSource is from whom the begin of a stream is known.
type originSource string

// The sources. sourceVersions means that all servers that may have begun the stream have one version.
const (
	sourceNone     originSource = "none"
	sourceEntry    originSource = "entry"
	sourceVersions originSource = "versions"
	sourceAgents   originSource = "agents"
)

// takeUp finds where a stream began that the client takes up, and binds the request to the version of that server.
func (e *Entry) takeUp(ctx context.Context, j *job) {
	if !j.route.Stream || !j.request.TakesUp() {
		return
	}

	j.bound = true
	j.begin, j.originSource = e.findOrigin(ctx, j)

	metric.Count(e.Metrics, "stream.taken_up."+string(j.originSource))
}

// findOrigin returns where a stream began, and from whom that is known.
func (e *Entry) findOrigin(ctx context.Context, j *job) (origin.Begin, originSource) {
	now := time.Now()

	if begin, ok := e.origins.Get(now, j.request.Origin()); ok {
		return begin, sourceEntry
	}

	if version, ok := e.soleVersion(j); ok {
		return origin.Begin{Version: version, Known: true, At: now}, sourceVersions
	}

	if begin, ok := e.Origins.Find(ctx, j.request.Origin()); ok {
		return begin, sourceAgents
	}

	return origin.Begin{}, sourceNone
}

// soleVersion returns the software version of all servers that may have begun the stream of a request; false if there may be several. Other
// entries may know servers that an old list lacks, and a list that is known not to be current gives nothing to go by. A client that does not
// name the attempt that began its stream leaves nothing but a list that is merely old.
func (e *Entry) soleVersion(j *job) (string, bool) {
	age, current := e.ListAge()
	named := j.request.Resumes != "" || j.responseStarted

	if !current || named && age > e.MaxListAge {
		return "", false
	}

	return e.Fleet.SoleVersion(time.Now(), j.service.Name)
}

// HasCurrentList reports whether the list of servers was confirmed a short time ago, and this entry knows of nothing that it may lack.
func (e *Entry) HasCurrentList() bool {
	age, known := e.ListAge()

	return known && age <= e.MaxListAge
}

// recordBegin binds a request to the process that has made the first event, which started at the given time, in Unix milliseconds; 0 if that
// is not known. A server that could go on with a stream of unknown begin has the version at which it began.
func (e *Entry) recordBegin(j *job, server fleet.Server, startedAt int64) {
	if !j.bound || !j.begin.Known {
		j.bound = true
		j.begin = origin.Of(server.ID, server.Version, server.StartedAt, startedAt)
		j.begin.At = time.Now()
	}

	e.origins.Put(time.Now(), j.request.Origin(), j.begin)

	// No agent is beside a server of a plain service.
	if j.service.Engine == nil {
		e.shareBegin(j)
	}
}

// shareBegin has the begin of the stream remembered by agents while the service has servers of several versions.
func (e *Entry) shareBegin(j *job) {
	if _, sole := e.soleVersion(j); sole {
		return
	}

	go e.Origins.Record(j.request.Origin(), j.begin)
}

// requiredVersion returns the software version of the servers that may run the request; false if any may. It is an error if that version is
// not known.
func (e *Entry) requiredVersion(j *job) (string, bool, *fault.Error) {
	if !j.bound {
		return "", false, nil
	}

	if j.begin.Known {
		return j.begin.Version, true, nil
	}

	// The row of the process may have come after its first event.
	if server, ok := e.Fleet.Find(j.begin.Server); ok && j.begin.StartedAt != 0 && server.StartedAt == j.begin.StartedAt {
		return server.Version, true, nil
	}

	if version, ok := e.soleVersion(j); ok {
		return version, true, nil
	}

	metric.Count(e.Metrics, "stream.refused.unknown")

	return "", true, fault.New(fault.NoServer, "the version of the server at which the stream began is not known")
}

// ofRequiredVersion returns the servers that may run the request as far as the version of their software is concerned.
func (e *Entry) ofRequiredVersion(j *job, servers []fleet.Server) ([]fleet.Server, *fault.Error) {
	version, required, err := e.requiredVersion(j)
	if err != nil || !required {
		return servers, err
	}

	servers = slices.DeleteFunc(servers, func(server fleet.Server) bool { return server.Version != version })

	if len(servers) == 0 {
		metric.Count(e.Metrics, "stream.refused.version_gone")

		return nil, fault.New(fault.NoServer, "no server has the version %q, at which the stream began", version)
	}

	return servers, nil
}

// reportTakenUp logs the outcome of a request that took up a stream; a nil error means that the response is complete.
func (e *Entry) reportTakenUp(j *job, err *fault.Error) {
	if j.originSource == "" {
		return
	}

	outcome := "done"
	if err != nil {
		outcome = string(err.Kind)
	}

	age := int64(-1)
	if !j.begin.At.IsZero() {
		age = time.Since(j.begin.At).Milliseconds()
	}

	e.Log.WithFields(logrus.Fields{
		fieldRequest: j.request.ID, "origin": j.request.Origin(), "version": j.begin.Version, "known": j.begin.Known, "from": j.originSource,
		"age": age, "servers": j.servers, "outcome": outcome,
	}).Info("stream taken up")
}
