package server

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/agent/worker"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// resumeWindow is how long a running generation without a reader waits to be resumed before it is canceled, and how long a
// completed one is kept.
const resumeWindow = 2 * time.Second

// generation is one generation at the engine.
type generation struct {
	request *rpc.RunRequest
	buffer  *worker.ResponseBuffer
	// cancel ends the generation.
	cancel context.CancelFunc

	mu sync.Mutex
	// readers counts the streams that relay the response.
	readers int
	// expiry cancels the generation; nil while it has a reader.
	expiry *time.Timer
}

// attach adds a reader, which keeps the generation from being canceled.
func (g *generation) attach() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.readers++

	if g.expiry != nil {
		g.expiry.Stop()
		g.expiry = nil
	}
}

// detach removes a reader. The generation is canceled if it has none for resumeWindow.
func (g *generation) detach() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.readers--

	if g.readers == 0 {
		g.expiry = time.AfterFunc(resumeWindow, g.cancel)
	}
}

// generations holds the generations of this process by request id, and completed ones for resumeWindow.
type generations struct {
	mu   sync.Mutex
	byID map[string]*generation
}

// add registers a generation, unless the id is in use.
func (g *generations) add(id string, added *generation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.byID[id] != nil {
		return false
	}

	g.byID[id] = added

	return true
}

func (g *generations) find(id string) *generation {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.byID[id]
}

// isOwn reports whether this process sent the request to the engine, and the request is running or completed recently.
func (g *generations) isOwn(id string) bool {
	return g.find(id) != nil
}

// removeLater removes a completed generation after resumeWindow.
func (g *generations) removeLater(id string) {
	time.AfterFunc(resumeWindow, func() {
		g.mu.Lock()
		defer g.mu.Unlock()

		delete(g.byID, id)
	})
}

// remove removes a generation that was not run by the engine.
func (g *generations) remove(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()

	delete(g.byID, id)
}
