package agent

import (
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// takeBody reserves memory for the body of a request until releaseBody, and returns a refusal if there is too little.
func (a *Agent) takeBody(size int) *message.Refused {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.BodyMemory > 0 && a.bodyBytes+int64(size) > a.BodyMemory {
		return &message.Refused{Err: fault.New(fault.Overloaded, "the bodies of the requests at the agent take too much memory")}
	}

	a.bodyBytes += int64(size)

	return nil
}

// releaseBody frees the memory of a body.
func (a *Agent) releaseBody(size int) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.bodyBytes -= int64(size)
}
