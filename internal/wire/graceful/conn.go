package graceful

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// lastReadTimeout bounds the last read of an idle connection that is to be closed. It is long enough to read what has arrived.
const lastReadTimeout = 10 * time.Millisecond

// lingerTimeout bounds the time for which bytes are read and dropped after a response, until the client has all of it. A close with unread
// bytes makes the kernel drop what it has not sent yet.
const lingerTimeout = time.Second

// errNoCloseWrite is returned by CloseWrite if the connection has no writing side of its own.
var errNoCloseWrite = errors.New("the connection has no writing side of its own")

// errNoLinger is returned by SetLinger if the connection has no such option.
var errNoLinger = errors.New("the connection has no linger time")

// conn is a connection that stays open until the server is done with it, whoever calls Close: net/http also closes connections that it
// takes for idle while it reads a request from them.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// active is true while the server takes the connection for one with a request, and hijacked once a handler has taken it over.
	active, hijacked bool
	// received is true from the first byte of a request that has been read until its response is complete.
	received bool
	// ahead is true if a byte has been read after the end of the request that is being served.
	ahead bool
	// responded is true from the start of a request until the server waits for the next one.
	responded bool
	// closing is true once the connection is to be closed as soon as it has no request.
	closing bool
	// deadline is the read deadline that the server has set. It is not in force while limited is true.
	deadline time.Time
	limited  bool
}

// Close implements net.Conn. It lets the server end the connection once that has no request.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.hijacked {
		return c.end()
	}

	if c.closing {
		return nil
	}

	c.closing = true

	return c.limitRead()
}

// end closes the connection for good.
func (c *conn) end() error {
	c.listener.remove(c)

	return errors.Wrap(c.Conn.Close(), "close connection")
}

// limitRead ends the wait for a request on a connection that is to be closed, and bounds the time to read the rest of a head that has begun.
func (c *conn) limitRead() error {
	if c.active || !c.closing {
		return nil
	}

	c.limited = true
	limit := time.Unix(1, 0)

	if c.received {
		limit = earlier(c.deadline, c.listener.headEnd())
	}

	return errors.Wrap(c.Conn.SetReadDeadline(limit), "limit read")
}

// earlier returns the earlier of two deadlines; the zero time is no deadline.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}

	return b
}

// observe records the state that the server gives the connection.
func (c *conn) observe(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()

	// Errors show at the next read.
	switch state {
	case http.StateActive:
		c.active, c.received, c.responded = true, true, true

		if c.limited {
			c.limited = false
			_ = c.Conn.SetReadDeadline(c.deadline)
		}
	case http.StateIdle:
		c.active, c.received, c.ahead = false, c.ahead, false
		_ = c.limitRead()
	case http.StateHijacked:
		c.hijacked = true
	case http.StateClosed:
		c.active = false

		if c.responded && unacknowledged(c.Conn) && c.CloseWrite() == nil {
			go c.linger()
			return
		}

		_ = c.end()
	}
}

// abort closes the connection at once. A response under way ends with a reset.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.active {
		// The connection is closed even if the option cannot be set.
		_ = c.SetLinger(0)
	}

	_ = c.end()
}

// linger closes the connection for good once the client has the whole response or has closed the connection, or after lingerTimeout.
func (c *conn) linger() {
	for end := time.Now().Add(lingerTimeout); unacknowledged(c.Conn) && time.Now().Before(end); {
		if c.Conn.SetReadDeadline(time.Now().Add(pollInterval)) != nil {
			break
		}

		if _, err := io.Copy(io.Discard, c.Conn); !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}

	_ = c.end()
}

// unacknowledged reports whether the peer of a TCP connection has not acknowledged all bytes yet.
func unacknowledged(raw net.Conn) bool {
	tcp, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}

	control, err := tcp.SyscallConn()
	if err != nil {
		return false
	}

	var count int

	controlErr := control.Control(func(fd uintptr) { count, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })

	return controlErr == nil && err == nil && count > 0
}

// hasRequest reports whether a request is being read or served.
func (c *conn) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.received
}

// isClosing reports whether the connection is to be closed.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.closing
}

// Read implements net.Conn. The error is that of the connection, since net/http looks at its type.
func (c *conn) Read(buffer []byte) (int, error) {
	c.noteRead()

	n, err := c.Conn.Read(buffer)

	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.prepareLastRead() {
		n, err = c.Conn.Read(buffer)
	}

	if n > 0 {
		c.record(len(buffer))
	}

	return n, err //nolint:wrapcheck // see above
}

// noteRead notes that the server waits for a request if it has none.
func (c *conn) noteRead() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.responded = c.responded && c.active
}

// prepareLastRead reports whether the connection is to be closed without a request. A request that has arrived, but is not read yet, can be
// read then.
func (c *conn) prepareLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.limited && !c.received && c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout)) == nil
}

// record notes that bytes were read into a buffer of a size.
func (c *conn) record(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.active {
		// net/http reads one byte ahead while a handler runs.
		c.ahead = c.ahead || size == 1
		return
	}

	if !c.received {
		c.received = true
		// An error shows at the next read.
		_ = c.limitRead()
	}
}

// SetReadDeadline implements net.Conn. It does not prolong the wait for a request on a connection that is to be closed.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.deadline = deadline

	if c.limited && !c.received {
		return nil
	}

	c.limited = false

	return errors.Wrap(c.Conn.SetReadDeadline(deadline), "set read deadline")
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}

	return errors.Wrap(c.SetWriteDeadline(deadline), "set write deadline")
}

// CloseWrite closes the writing side if the connection has one; net/http does so before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if writer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(writer.CloseWrite(), "close the writing side")
	}

	return errNoCloseWrite
}

// SetLinger sets the linger time in seconds; 0 makes a close reset the connection.
func (c *conn) SetLinger(seconds int) error {
	if option, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return errors.Wrap(option.SetLinger(seconds), "set linger time")
	}

	return errNoLinger
}
