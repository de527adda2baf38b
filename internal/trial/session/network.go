package session

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// network connects listeners and dialers in memory, by address.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// listener accepts in-memory connections.
type listener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (n *network) listen(address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}

	n.listeners[address] = &listener{accepted: make(chan net.Conn), closed: make(chan struct{})}

	return n.listeners[address]
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	found := n.listeners[address]
	n.mu.Unlock()

	if found == nil {
		return nil, errors.Newf("nothing listens at %s", address)
	}

	near, far := net.Pipe()

	select {
	case found.accepted <- far:
		return near, nil
	case <-found.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.accepted:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })

	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
