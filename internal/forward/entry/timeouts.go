package entry

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
)

const (
	// streamReadTimeout is how long a model server may send nothing before a resumable stream continues at another server, if one can
	// take it over.
	streamReadTimeout = 1500 * time.Millisecond
	// plainReadTimeoutFactor times the objective is how long a server of a plain service may send nothing before an
	// idempotent request is retried at another server, if one can run it.
	plainReadTimeoutFactor = 4
)

// maxWait returns how long the request may still wait in the queue of an agent. Requests that will miss their objective
// are queued behind those that can meet it, so waiting longer than the objective delays no other request. A request that
// would wait until its client disconnects is refused.
func (j *job) maxWait() time.Duration {
	wait := j.usefulWait()

	if j.gaveUp != nil {
		wait = min(wait, maxTakeoverWait)
	}

	if !j.startBy.IsZero() {
		wait = min(wait, max(time.Until(j.startBy), 0))
	}

	return wait
}

// usefulWait returns how long the request may wait for a response that is still of use to its client.
func (j *job) usefulWait() time.Duration {
	if !j.route.Stream {
		return refuse.MaxPlainWait(j.remaining())
	}

	sinceLastEvent := time.Since(j.request.Arrived)

	if j.responseStarted {
		// The failed server may have sent nothing for this time or longer.
		sinceLastEvent = streamReadTimeout
	}

	return refuse.MaxStreamWait(j.route.Objective, j.route.GapTarget, sinceLastEvent, j.remaining())
}

// readTimeout returns how long a server may send nothing before the request is retried at another server, if one can run it; 0 if the request
// may not be retried.
func (j *job) readTimeout() time.Duration {
	if j.runs+1 >= j.route.MaxAttempts {
		return 0
	}

	switch j.route.RetryPolicy {
	case catalog.Resumable:
		return streamReadTimeout
	case catalog.Idempotent:
		return plainReadTimeoutFactor * j.route.Objective
	default:
		return 0
	}
}
