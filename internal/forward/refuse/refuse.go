// Package refuse implements the admission control of the entries of internal/forward: it decides whether a request is refused
// before it is sent, when its client should retry, and how long the request may wait to be started. Under overload, a request
// that cannot be served in time is refused at once.
package refuse

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// noServerRetry is the retry delay when no server is available.
	noServerRetry = 500 * time.Millisecond
	// modelLoadRetry is the retry delay while servers that started without a model load it from their own disks.
	modelLoadRetry = 2500 * time.Millisecond
	// jitterShare is the maximum jitter as a fraction of the retry delay, so that clients do not retry at the same time.
	jitterShare = 0.5
)

// Candidate describes the best server for a request and how long the request may wait for it.
type Candidate struct {
	// ID is that of the request, from which the jitter of the retry delay is derived.
	ID string
	// Found is true if there is a server, and ExpectedWait is the expected wait there.
	Found        bool
	ExpectedWait time.Duration
	// ModelLoading is true if no server was found and some servers are still loading their model.
	ModelLoading bool
	// MaxWait is how long the request may wait, and Objective its latency objective: a response within it is on time.
	MaxWait   time.Duration
	Objective time.Duration
	// Useful is the longest retry delay that is of use to the client; 0 if it is not known.
	Useful time.Duration
}

// CheckModelRequest returns an error if a request for a model server is refused, and nil if it is to be sent. A request is
// refused for its wait only if the wait exceeds both MaxWait and Objective.
func CheckModelRequest(candidate Candidate) *fault.Error {
	switch {
	case !candidate.Found && candidate.ModelLoading:
		return fault.New(fault.NoServer, "the model servers are still loading the model").WithRetryAfter(jitter(candidate.ID, modelLoadRetry))
	case !candidate.Found:
		return fault.New(fault.NoServer, "no model server is available for the request").WithRetryAfter(jitter(candidate.ID, noServerRetry))
	case candidate.ExpectedWait > candidate.MaxWait && candidate.ExpectedWait > candidate.Objective:
		return fault.New(fault.Overloaded, "the expected wait is at least %d ms at every model server", candidate.ExpectedWait.Milliseconds()).WithRetryAfter(capacityRetry(&candidate))
	default:
		return nil
	}
}

// capacityRetry returns the retry delay for a request whose wait is too long: the time until the work ahead of it is done at the best server, spread
// over the clients, and no longer than useful.
func capacityRetry(candidate *Candidate) time.Duration {
	delay := candidate.ExpectedWait
	if candidate.Useful > 0 {
		delay = min(delay, time.Duration(float64(candidate.Useful)/(1+jitterShare)))
	}

	return jitter(candidate.ID, delay)
}

// NoPlainServer returns the error for a request to a plain service without an available server. The time until one that wants no
// requests for a while takes them again is the earliest retry; 0 if there is none.
func NoPlainServer(id string, next time.Duration) *fault.Error {
	return fault.New(fault.NoServer, "no server is available for the service").WithRetryAfter(jitter(id, max(next, noServerRetry)))
}

// jitter adds up to jitterShare to a retry delay; the same request always gets the same delay.
func jitter(id string, delay time.Duration) time.Duration {
	const steps = 1 << 10

	return delay + time.Duration(jitterShare*float64(delay)*float64(xxhash.Sum64String(id)%steps)/steps)
}
