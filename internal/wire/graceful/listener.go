// Package graceful lets an HTTP server stop without losing a request of which it has read a byte. net/http marks a connection as active only
// once the head of a request is parsed, and closes connections that are idle until then.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pollInterval is the time between two looks at the connections that Drain and Wait wait for.
const pollInterval = 10 * time.Millisecond

// StateObserver is implemented by accepted connections that are to be told their state.
type StateObserver interface {
	ObserveState(state http.ConnState)
}

// Listener accepts connections that are closed once they have no request. Its ObserveState is to be the ConnState of the server. http.Server.Close
// does not break off requests, but Abort does. Exported fields are set before use.
type Listener struct {
	net.Listener
	// HeaderTimeout bounds the time to read the rest of a head of which a part has been read when its connection is to be closed; 0 is no
	// bound.
	HeaderTimeout time.Duration

	mu sync.Mutex
	// conns holds the connections that are open.
	conns map[*conn]bool
	// accepting is true while a call of Accept is under way, and closed once the listener is closed.
	accepting, closed bool
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.setAccepting()

	accepted, err := l.Listener.Accept()
	if err != nil {
		l.add(nil)
		return nil, errors.Wrap(err, "accept")
	}

	c := &conn{Conn: accepted, listener: l}
	l.add(c)

	return c, nil
}

// Close implements net.Listener. A second call does nothing.
func (l *Listener) Close() error {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.mu.Unlock()

	if closed {
		return nil
	}

	return errors.Wrap(l.Listener.Close(), "close listener")
}

// ObserveState records the state of a connection; it is the ConnState of an http.Server.
func (l *Listener) ObserveState(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*conn)
	if !ok {
		return
	}

	// The accepted connection is told first, since the bytes that are read after the end are no request.
	if observer, ok := c.Conn.(StateObserver); ok {
		observer.ObserveState(state)
	}

	c.observe(state)
}

// Drain closes the listener, lets the server answer the requests that arrive until no connection has one, and closes the connections. It
// returns when they are closed, or when the context ends. Unlike http.Server.Shutdown, it drops no request that has been read.
func (l *Listener) Drain(ctx context.Context) {
	_ = l.Close()
	l.wait(ctx, (*conn).hasRequest)
	l.closeIdle()
	l.Wait(ctx)
}

// Wait returns when no connection is about to be closed, or when the context ends. http.Server.Shutdown does not wait for connections that it
// has closed as idle.
func (l *Listener) Wait(ctx context.Context) {
	l.wait(ctx, (*conn).isClosing)
}

// Abort closes all connections at once. Those with a request are reset, since a close in good order is the end of a body without a length.
func (l *Listener) Abort() {
	for _, c := range l.open() {
		c.abort()
	}
}

// closeIdle closes the connections without a request, and the others after their response.
func (l *Listener) closeIdle() {
	for _, c := range l.open() {
		// The server ends the connection even if its reads cannot be limited.
		_ = c.Close()
	}
}

// wait returns when the condition holds for no connection, or when the context ends.
func (l *Listener) wait(ctx context.Context, condition func(*conn) bool) {
	for l.any(condition) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

// any reports whether the condition holds for a connection. It is taken to hold for one that is being accepted from a closed listener.
func (l *Listener) any(condition func(*conn) bool) bool {
	if l.isAcceptingLast() {
		return true
	}

	for _, c := range l.open() {
		if condition(c) {
			return true
		}
	}

	return false
}

func (l *Listener) isAcceptingLast() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.accepting && l.closed
}

func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()

	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}

	return conns
}

func (l *Listener) setAccepting() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.accepting = true
}

// add records the end of a call of Accept, and its connection if there is one.
func (l *Listener) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.accepting = false

	if c == nil {
		return
	}

	if l.conns == nil {
		l.conns = map[*conn]bool{}
	}

	l.conns[c] = true
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()

	delete(l.conns, c)
}

// headEnd returns the deadline of a head that is being read; the zero time if there is none.
func (l *Listener) headEnd() time.Time {
	if l.HeaderTimeout <= 0 {
		return time.Time{}
	}

	return time.Now().Add(l.HeaderTimeout)
}
