package entry

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
)

const (
	// streamSilence is the longest pause of a model server before a stream that can be resumed goes on elsewhere.
	streamSilence = 1500 * time.Millisecond
	// plainSilence times the objective is the longest wait for a plain service before an idempotent request goes elsewhere.
	plainSilence = 4
)

// patience returns how long the request may still wait for its turn at a server. Late requests go behind those that can be
// on time, so that their wait costs no others; one that waits longer than its client is refused.
func (j *job) patience() time.Duration {
	if !j.route.Stream {
		return refuse.MaxPlainWait(j.left())
	}

	silent := time.Since(j.request.Arrived)

	if j.begun {
		// The broken server was silent for up to this time.
		silent = streamSilence
	}

	return refuse.MaxStreamWait(j.route.Objective, j.route.GapTarget, silent, j.left())
}

// silence returns the longest pause of a server after which the request goes elsewhere; 0 if it may not be repeated.
func (j *job) silence() time.Duration {
	if j.ran+1 >= j.route.MaxAttempts {
		return 0
	}

	switch j.route.RetryPolicy {
	case catalog.Resumable:
		return streamSilence
	case catalog.Idempotent:
		return plainSilence * j.route.Objective
	default:
		return 0
	}
}
