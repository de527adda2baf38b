package relay

import (
	"context"
	"sync"

	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
)

// helloCalls coalesces concurrent Hellos to one agent. The zero value is ready.
type helloCalls struct {
	mu sync.Mutex
	// byAgent holds the Hellos in flight.
	byAgent map[agentKey]*helloCall
}

type agentKey struct {
	name    string
	address string
}

// helloCall is one Hello in flight; ticket and err are valid once done is closed.
type helloCall struct {
	done   chan struct{}
	ticket agentTicket
	err    error
}

// getOrCreate returns the Hello in flight to the agent, and true if it is new and the caller has to send it.
func (g *helloCalls) getOrCreate(key agentKey) (*helloCall, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if found := g.byAgent[key]; found != nil {
		return found, false
	}

	if g.byAgent == nil {
		g.byAgent = map[agentKey]*helloCall{}
	}

	created := &helloCall{done: make(chan struct{})}
	g.byAgent[key] = created

	return created, true
}

func (g *helloCalls) finish(key agentKey, call *helloCall) {
	g.mu.Lock()
	defer g.mu.Unlock()

	delete(g.byAgent, key)
	close(call.done)
}

// requestTicket returns a new ticket of the agent. Concurrent calls share one Hello, which continues when the context of one
// of them ends.
func (r *Relay) requestTicket(ctx context.Context, server *member.Server) (agentTicket, error) {
	key := agentKey{name: server.Name, address: server.Address}

	call, created := r.helloCalls.getOrCreate(key)
	if created {
		go func() {
			call.ticket, call.err = r.sendHello(context.WithoutCancel(ctx), server)
			r.helloCalls.finish(key, call)
		}()
	}

	select {
	case <-call.done:
	case <-ctx.Done():
		return agentTicket{}, ctx.Err()
	}

	if call.err == nil {
		server.Breaker.Succeeded()
	}

	return call.ticket, call.err
}
