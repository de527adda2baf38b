// Package connlimit bounds what connections take before a request is accepted: their number, the heads and drpc messages that are being read, and
// the bytes that the kernel keeps for them (SetReadBuffer). net/http has a bound for the bytes of one head, which is fixed when the server starts
// and does not count what a parsed head takes, and none for connections.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
)

// Reason tells why a connection was closed.
type Reason string

const (
	// TooMany is a connection beyond the bound, or one that was evicted for a newer one.
	TooMany Reason = "connections"
	// TooLarge is a head or a frame that is larger than its limit.
	TooLarge Reason = "size"
	// NoMemory is a head or a message for which there is no memory left.
	NoMemory Reason = "memory"
)

const (
	// readBuffer is the receive buffer of a connection in bytes, as it is set. By default it would grow to megabytes, and its bytes count
	// toward the memory of the process.
	readBuffer = 16 << 10
	// KernelBytes is what the kernel keeps for a connection at most: it doubles the size that is set.
	KernelBytes = 2 * readBuffer
	// evictionTries bounds the candidates that are tried for one new connection.
	evictionTries = 4
)

// SetReadBuffer sets the receive buffer of the connections that a listener accepts; it is the Control of a net.ListenConfig. Set on an accepted
// connection, a buffer smaller than the window that the peer knows already made bodies of 64 KB take 190 ms on loopback.
func SetReadBuffer(_, _ string, raw syscall.RawConn) error {
	var setErr error

	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, readBuffer)
	})

	return errors.Wrap(errors.CombineErrors(err, setErr), "set receive buffer")
}

// Limit decides what may be read from one connection. It is not safe for concurrent use.
type Limit interface {
	// take counts bytes that have been read, and returns why they exceed the limit; empty if they do not.
	take(data []byte) Reason
	// isPending reports whether no request or message has been accepted yet, or none since the last response.
	isPending() bool
	// observe records the state that an HTTP server gives the connection.
	observe(state http.ConnState)
	// refusal returns what is sent before the connection is closed for a reason; nil sends nothing.
	refusal(reason Reason) []byte
	// drop counts bytes that are read and dropped after a refusal, and reports whether more are to be read before the refusal is sent.
	drop(data []byte) (more bool)
	// release gives back the memory.
	release()
}

// Listener accepts connections within bounds. Its ObserveState is to be the ConnState of an http.Server. Exported fields are set before use.
type Listener struct {
	net.Listener
	// MaxConns bounds the open connections; 0 is no bound.
	MaxConns int
	// NewLimit returns the limit of a new connection.
	NewLimit func() Limit
	// IdleTimeout returns for how long clients may use an idle connection again; nil if idle connections are never evicted.
	IdleTimeout func() time.Duration
	// OnRefuse is called when a connection is refused or closed; may be nil.
	OnRefuse func(reason Reason)

	mu    sync.Mutex
	conns map[*conn]bool
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.Wrap(err, "accept")
		}

		if !l.makeRoom() {
			_ = accepted.Close()
			l.report(TooMany)

			continue
		}

		return l.add(accepted), nil
	}
}

// Count returns the number of open connections.
func (l *Listener) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	return int64(len(l.conns))
}

// ObserveState records the state of a connection; it is the ConnState of an http.Server.
func (l *Listener) ObserveState(accepted net.Conn, state http.ConnState) {
	if c, ok := accepted.(*conn); ok {
		c.ObserveState(state)
	}
}

// makeRoom reports whether another connection may be added. If the bound is reached, it first evicts one that may be closed.
func (l *Listener) makeRoom() bool {
	if l.MaxConns <= 0 || int(l.Count()) < l.MaxConns {
		return true
	}

	// A candidate may have received its request since it was found; another one is tried then.
	for range evictionTries {
		candidate := l.findCandidate(time.Now())
		if candidate == nil {
			return false
		}

		if candidate.evict(time.Now()) {
			l.report(TooMany)

			return true
		}
	}

	return false
}

// findCandidate returns the connection that has waited longest of those that may be evicted; nil if there is none.
func (l *Listener) findCandidate(now time.Time) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()

	var (
		found *conn
		since time.Time
	)

	for c := range l.conns {
		if waits, ok := c.waitsSince(now); ok && (found == nil || waits.Before(since)) {
			found, since = c, waits
		}
	}

	return found
}

func (l *Listener) add(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, listener: l, limit: l.NewLimit(), since: time.Now()}

	l.mu.Lock()
	defer l.mu.Unlock()

	if l.conns == nil {
		l.conns = map[*conn]bool{}
	}

	l.conns[c] = true

	return c
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()

	delete(l.conns, c)
}

func (l *Listener) report(reason Reason) {
	if l.OnRefuse != nil {
		l.OnRefuse(reason)
	}
}

// reserve changes the size of a reservation, and returns NoMemory if the budget does not allow it.
func reserve(reservation *memory.Reservation, bytes int64) Reason {
	if reservation.Resize(bytes) {
		return ""
	}

	// What was refused grows no more, but keeps its memory until its connection is closed.
	reservation.Settle()

	return NoMemory
}
