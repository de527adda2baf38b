// Package pipe connects processes in memory, for tests in virtual time, in which real sockets do not count as idle.
package pipe

import (
	"context"
	"net"
	"sync"
)

// Listener is a net.Listener whose connections are made by Dial.
type Listener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// New returns an open listener.
func New() *Listener {
	return &Listener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns the near end of a connection once the listener has accepted the far end. It fails with net.ErrClosed after
// Close.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()

	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.accepted:
		return accepted, nil
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
