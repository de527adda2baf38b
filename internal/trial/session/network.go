package session

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/trial/pipe"
)

// network is an in-memory network that maps addresses to listeners.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipe.Listener
}

func (n *network) listen(address string) *pipe.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.listeners == nil {
		n.listeners = map[string]*pipe.Listener{}
	}

	n.listeners[address] = pipe.New()

	return n.listeners[address]
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	found := n.listeners[address]
	n.mu.Unlock()

	if found == nil {
		return nil, errors.Newf("no listener at address %s", address)
	}

	return found.Dial(ctx)
}
