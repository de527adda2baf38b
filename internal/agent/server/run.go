package server

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/agent/worker"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// linger is how long a running generation whose entry was lost waits to be resumed before it is canceled, and how long
// an ended one is kept.
const linger = 2 * time.Second

// run is one generation at the engine.
type run struct {
	request *rpc.RunRequest
	answer  *worker.Answer
	// cancel ends the generation.
	cancel context.CancelFunc

	mu sync.Mutex
	// readers counts the streams that relay the answer.
	readers int
	expiry  *time.Timer
}

// attach keeps the generation alive while a stream relays it.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.readers++

	if r.expiry != nil {
		r.expiry.Stop()
		r.expiry = nil
	}
}

// detach cancels the generation if no stream resumes it in time.
func (r *run) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.readers--

	if r.readers == 0 {
		r.expiry = time.AfterFunc(linger, r.cancel)
	}
}

// runs holds the generations of this process by request id, and ended ones for a short time.
type runs struct {
	mu   sync.Mutex
	byID map[string]*run
}

// add registers a generation, unless the id is in use.
func (r *runs) add(id string, added *run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.byID[id] != nil {
		return false
	}

	r.byID[id] = added

	return true
}

func (r *runs) find(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.byID[id]
}

// own reports whether this process gave the engine the request, now or shortly before.
func (r *runs) own(id string) bool {
	return r.find(id) != nil
}

// end forgets an ended generation after a short time.
func (r *runs) end(id string) {
	time.AfterFunc(linger, func() {
		r.mu.Lock()
		defer r.mu.Unlock()

		delete(r.byID, id)
	})
}

// remove forgets a generation that the engine was never given.
func (r *runs) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.byID, id)
}
