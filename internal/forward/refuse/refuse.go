// Package refuse decides when a request is refused before it is sent, when its caller is to come back, and how long it may
// wait for its turn. It answers loads above what the servers bear: a request that cannot be served in time is refused at once.
package refuse

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// noServerPause is the time to come back when no server is in service.
	noServerPause = 500 * time.Millisecond
	// modelPause is the time to come back while servers that started empty load the model from their own disks.
	modelPause = 2500 * time.Millisecond
	// spreadShare is the part of a time to come back over which callers are spread, so that they do not return at once.
	spreadShare = 0.5
)

// Choice is what is known of the best server for a request.
type Candidate struct {
	// ID is that of the request, which spreads the times to come back.
	ID string
	// Found says that there is a server, and Wait is the wait that is expected there.
	Found        bool
	ExpectedWait time.Duration
	// Loading says that servers load their model, if none was found.
	ModelLoading bool
	// Patience is how long the request may wait, and Objective the time within which its answer is on time.
	MaxWait   time.Duration
	Objective time.Duration
}

// Model returns why a request for a model server is refused; nil if it is to be sent.
func ModelRequest(choice Candidate) *fault.Error {
	switch {
	case !choice.Found && choice.ModelLoading:
		return fault.New(fault.NoServer, "the model servers load the model").WithRetry(spread(choice.ID, modelPause))
	case !choice.Found:
		return fault.New(fault.NoServer, "no model server for the request in service").WithRetry(spread(choice.ID, noServerPause))
	case choice.ExpectedWait > choice.MaxWait && choice.ExpectedWait > choice.Objective:
		return fault.New(fault.Overloaded, "every model server has a wait of %d ms or more", choice.ExpectedWait.Milliseconds()).WithRetry(choice.ExpectedWait)
	default:
		return nil
	}
}

// Plain returns the refusal of a request for a plain service without a server.
func PlainRequest(id string) *fault.Error {
	return fault.New(fault.NoServer, "no server of the service in service").WithRetry(spread(id, noServerPause))
}

// spread adds up to spreadShare to a time to come back, the same for the same request.
func spread(id string, pause time.Duration) time.Duration {
	const steps = 1 << 10

	return pause + time.Duration(spreadShare*float64(pause)*float64(xxhash.Sum64String(id)%steps)/steps)
}
