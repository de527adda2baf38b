// Package pipe provides in-memory network connections for tests in virtual time (testing/synctest), where a goroutine that
// is blocked on a real socket does not count as idle.
package pipe

import (
	"context"
	"net"
	"sync"
)

// Listener is a net.Listener that accepts the connections made by Dial.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// New returns an open listener.
func New() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns the client end of a connection once the listener has accepted the server end. It returns net.ErrClosed after
// Close.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()

	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })

	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
