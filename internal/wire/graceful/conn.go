package graceful

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errNoLinger is returned by SetLinger if the connection has no such option.
var errNoLinger = errors.New("the connection has no linger time")

// conn is a connection that is not closed while idle before it is known whether a request has been read.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// idle is true while the server takes the connection for one without a request, and reading while a call of Read is under way.
	idle, reading bool
	// closing is true from a close while idle until the call of Read has ended, or until the request that it has read is done.
	closing bool
	// received is true once a call of Read has returned bytes since the close.
	received bool
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.idle = idle
}

// Close implements net.Conn. Of an idle connection it ends the call of Read that waits for the next request: if that has read one, the
// connection is closed after the response.
func (c *conn) Close() error {
	c.mu.Lock()

	if c.idle && c.reading && !c.closing {
		c.closing = true
		c.listener.setClosing(c, true)

		err := c.Conn.SetReadDeadline(time.Unix(1, 0))
		c.mu.Unlock()

		return errors.Wrap(err, "end read")
	}

	waits := c.closing && !c.received
	c.mu.Unlock()

	if waits {
		return nil
	}

	return c.end()
}

// end closes the connection for good.
func (c *conn) end() error {
	c.listener.setClosing(c, false)

	return errors.Wrap(c.Conn.Close(), "close connection")
}

// Read implements net.Conn. The error is that of the connection, since net/http looks at its type.
func (c *conn) Read(buffer []byte) (int, error) {
	c.setReading(true)

	n, err := c.Conn.Read(buffer)

	if c.readEnded(n) {
		_ = c.end()
	}

	return n, err //nolint:wrapcheck // see above
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.reading = reading
}

// readEnded records the end of a call of Read and reports whether the connection is to be closed: it was closed while idle, and no request
// was read.
func (c *conn) readEnded(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.reading = false

	if !c.closing || c.received {
		return false
	}

	if n == 0 {
		return true
	}

	c.received = true
	// An error shows at the next read.
	_ = c.Conn.SetReadDeadline(time.Time{})

	return false
}

// SetReadDeadline implements net.Conn. It does not prolong a call of Read that Close ends.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closing && !c.received {
		return nil
	}

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

	return nil
}

// SetLinger sets the linger time in seconds; 0 makes a close reset the connection.
func (c *conn) SetLinger(seconds int) error {
	if option, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return errors.Wrap(option.SetLinger(seconds), "set linger time")
	}

	return errNoLinger
}
