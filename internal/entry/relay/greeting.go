package relay

import (
	"context"
	"sync"

	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
)

// greetings coalesces concurrent Hellos to one agent. The zero value is ready.
type greetings struct {
	mu sync.Mutex
	// byServer holds the Hellos under way.
	byServer map[agentKey]*greeting
}

type agentKey struct {
	name    string
	address string
}

// greeting is one Hello; permit and err are valid once done is closed.
type greeting struct {
	done   chan struct{}
	permit ticket
	err    error
}

// join returns the Hello under way to the agent, and true if the caller has to send it.
func (g *greetings) join(key agentKey) (*greeting, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if found := g.byServer[key]; found != nil {
		return found, false
	}

	if g.byServer == nil {
		g.byServer = map[agentKey]*greeting{}
	}

	begun := &greeting{done: make(chan struct{})}
	g.byServer[key] = begun

	return begun, true
}

func (g *greetings) end(key agentKey, ended *greeting) {
	g.mu.Lock()
	defer g.mu.Unlock()

	delete(g.byServer, key)
	close(ended.done)
}

// hello returns a fresh ticket of the agent. Concurrent calls share one Hello, which goes on when a caller gives up.
func (r *Relay) hello(ctx context.Context, server *member.Server) (ticket, error) {
	key := agentKey{name: server.Name, address: server.Address}

	shared, first := r.greetings.join(key)
	if first {
		go func() {
			shared.permit, shared.err = r.greet(context.WithoutCancel(ctx), server)
			r.greetings.end(key, shared)
		}()
	}

	select {
	case <-shared.done:
	case <-ctx.Done():
		return ticket{}, ctx.Err()
	}

	if shared.err == nil {
		server.Breaker.Succeeded()
	}

	return shared.permit, shared.err
}
