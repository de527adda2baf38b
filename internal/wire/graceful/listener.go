// Package graceful lets an HTTP server close idle connections without losing a request that has just been read. net/http marks a connection
// as active only once the head of a request is parsed, and closes connections that are idle until then.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pollInterval is the time between two looks at the connections that Wait and WaitInactive wait for.
const pollInterval = 10 * time.Millisecond

// Listener accepts connections whose close waits while they have a request. Its ObserveState is to be the ConnState of the server.
type Listener struct {
	net.Listener

	mu sync.Mutex
	// closing holds the connections that are to be closed as soon as it is known that they have no request, or after it.
	closing map[*conn]bool
	// active holds the connections that have a request.
	active map[*conn]bool
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}

	return &conn{Conn: accepted, listener: l, idle: true}, nil
}

// ObserveState records the state of a connection; it is the ConnState of an http.Server.
func (l *Listener) ObserveState(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*conn)
	if !ok {
		return
	}

	c.setIdle(state == http.StateIdle || state == http.StateNew)
	l.setActive(c, state == http.StateActive)
}

// WaitInactive returns when no connection has a request, or when the context ends. Unlike http.Server.Shutdown, it lets the server answer
// requests that arrive meanwhile.
func (l *Listener) WaitInactive(ctx context.Context) {
	poll(ctx, func() bool { return l.activeCount() == 0 })
}

func (l *Listener) activeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.active)
}

func (l *Listener) setActive(c *conn, active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !active {
		delete(l.active, c)
		return
	}

	if l.active == nil {
		l.active = map[*conn]bool{}
	}

	l.active[c] = true
}

// Wait returns when no connection is about to be closed, or when the context ends. http.Server.Shutdown does not wait for connections that it
// has closed as idle.
func (l *Listener) Wait(ctx context.Context) {
	poll(ctx, func() bool { return l.closingCount() == 0 })
}

// poll returns when done is true, or when the context ends.
func poll(ctx context.Context, done func() bool) {
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

func (l *Listener) closingCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.closing)
}

func (l *Listener) setClosing(c *conn, closing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !closing {
		delete(l.closing, c)
		return
	}

	if l.closing == nil {
		l.closing = map[*conn]bool{}
	}

	l.closing[c] = true
}
