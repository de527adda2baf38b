package connlimit

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// refusalTimeout bounds the write of a refusal, and how long the connection stays open after it: a close with unread bytes makes the
	// kernel drop what it has not sent yet. net/http waits as long after a head that is too large.
	refusalTimeout = 500 * time.Millisecond
	// dropTimeout bounds the time to read the rest of a message that is refused.
	dropTimeout = 2 * time.Second
	// idleNumerator and idleDenominator give the part of the idle timeout after which an idle connection may be evicted. Clients use a connection
	// again within four fifths of the timeout.
	idleNumerator, idleDenominator = 9, 10
)

// errNotSupported is returned for an option that the connection does not have.
var errNotSupported = errors.New("the connection does not have the option")

// conn is a connection whose bytes are bounded until a request is accepted.
type conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	limit Limit
	// since is when the connection was accepted, or when its last request was complete.
	since time.Time
	// served is true once a request has been accepted.
	served bool
	// closed is true once bytes are no longer counted: the connection was refused, evicted or closed.
	closed bool
}

// Read implements net.Conn. The error is that of the connection, since net/http looks at its type.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err //nolint:wrapcheck // see above
	}

	reason, closed := c.take(buffer[:n])

	switch {
	case reason != "":
		c.refuse(reason, buffer)

		return 0, io.EOF
	case closed:
		return 0, io.EOF
	}

	return n, err //nolint:wrapcheck // see above
}

// take counts bytes that have been read, and returns why they are refused; empty if they are not. closed is true if they are to be dropped.
func (c *conn) take(data []byte) (reason Reason, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed {
		return "", true
	}

	reason = c.limit.take(data)
	c.closed = reason != ""
	c.served = c.served || !c.limit.isPending()

	return reason, false
}

// refuse sends the refusal and waits for refusalTimeout, in which the client is likely to receive it.
func (c *conn) refuse(reason Reason, buffer []byte) {
	c.listener.report(reason)

	response := c.limit.refusal(reason)
	if response == nil || !c.dropRest(buffer) || c.SetWriteDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}

	if _, err := c.Write(response); err == nil && c.CloseWrite() == nil {
		time.Sleep(refusalTimeout)
	}
}

// dropRest reads and drops what must be read before the refusal, and reports whether the refusal can be sent then.
func (c *conn) dropRest(buffer []byte) bool {
	more := c.limit.drop(nil)
	if more && c.SetReadDeadline(time.Now().Add(dropTimeout)) != nil {
		return false
	}

	for more {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return false
		}

		more = c.limit.drop(buffer[:n])
	}

	return true
}

// waitsSince returns since when the connection waits for a request; false if it must not be closed for another one.
func (c *conn) waitsSince(now time.Time) (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.since, c.isEvictable(now)
}

// isEvictable reports whether the connection may be closed for another one: none of its requests was accepted yet, or it has been idle for nearly
// as long as clients may use it again. The lock must be held.
func (c *conn) isEvictable(now time.Time) bool {
	if c.closed || !c.limit.isPending() {
		return false
	}

	if !c.served {
		return true
	}

	if c.listener.IdleTimeout == nil {
		return false
	}

	timeout := c.listener.IdleTimeout()

	return timeout > 0 && now.Sub(c.since) > timeout*idleNumerator/idleDenominator
}

// evict closes the connection if it still may be closed.
func (c *conn) evict(now time.Time) bool {
	c.mu.Lock()

	if !c.isEvictable(now) {
		c.mu.Unlock()
		return false
	}

	c.closed = true
	c.mu.Unlock()

	_ = c.Close()

	return true
}

// ObserveState records the state that an HTTP server gives the connection.
func (c *conn) ObserveState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if state == http.StateIdle {
		c.since = time.Now()
	}

	c.limit.observe(state)
	c.served = c.served || state == http.StateActive
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)

	c.mu.Lock()
	c.closed = true
	c.limit.release()
	c.mu.Unlock()

	return errors.Wrap(c.Conn.Close(), "close connection")
}

// CloseWrite closes the writing side.
func (c *conn) CloseWrite() error {
	if writer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(writer.CloseWrite(), "close the writing side")
	}

	return errNotSupported
}

// SetLinger sets the linger time in seconds; 0 makes a close reset the connection.
func (c *conn) SetLinger(seconds int) error {
	if option, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return errors.Wrap(option.SetLinger(seconds), "set linger time")
	}

	return errNotSupported
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		control, err := raw.SyscallConn()

		return control, errors.Wrap(err, "raw connection")
	}

	return nil, errNotSupported
}
