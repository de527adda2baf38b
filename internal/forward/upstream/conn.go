package upstream

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
)

const (
	// dialTimeout limits the time to open a connection, so that a VM that drops packets is detected soon.
	dialTimeout = time.Second
	// ackTimeout closes a connection whose peer acknowledges nothing for this long, or takes nothing of what is sent.
	ackTimeout = 2 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the server does not state a timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleMargin is how long before the idle timeout of the server a connection is closed, so that no request is sent while the
	// server closes the connection.
	idleMargin = 500 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// head limits the size of response heads.
	head *headLimiter
	// expires is when the idle connection may no longer be reused.
	expires time.Time
	// used is true once a response was received.
	used bool
	// carried holds the requests sent here that may be sent once more.
	carried carriedRequests
	// patient is true while the peer has until the deadline of a request to take its body.
	patient atomic.Bool
}

func newConn(raw net.Conn, budget *memory.Budget) *conn {
	head := &headLimiter{from: raw, kept: memory.Reservation{Budget: budget, Free: freeHeadBytes}}

	return &conn{Conn: raw, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, carried: carriedRequests{}}
}

// reusable reports whether an idle connection has not expired, and the peer has neither closed it nor sent bytes, which would
// belong to no request.
func (c *conn) reusable(now time.Time) bool {
	if now.After(c.expires) || c.reader.Buffered() > 0 {
		return false
	}

	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}

	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}

	var (
		peeked  [1]byte
		peekErr error
	)

	err = control.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})

	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}

// awaitReader gives the peer the given time to take what is sent, in place of ackTimeout: it may respond for longer than that before it reads a body.
func (c *conn) awaitReader(limit time.Duration) error {
	c.patient.Store(true)

	return c.setAckTimeout(limit)
}

// restoreAckTimeout ends awaitReader. What a closed connection has not sent yet is dropped after ackTimeout, too.
func (c *conn) restoreAckTimeout() {
	if c.patient.Swap(false) {
		_ = c.setAckTimeout(ackTimeout)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.restoreAckTimeout()

	return c.Conn.Close()
}

func (c *conn) setAckTimeout(limit time.Duration) error {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}

	control, err := raw.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "get descriptor")
	}

	return setAckTimeout(control, limit)
}

// DialTCP opens a connection that is closed if the peer stops acknowledging data.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	control := func(_, _ string, raw syscall.RawConn) error { return setAckTimeout(raw, ackTimeout) }
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: control}

	raw, err := dialer.DialContext(ctx, "tcp", address)

	return raw, errors.Wrap(err, "dial")
}

// setAckTimeout sets TCP_USER_TIMEOUT.
func setAckTimeout(raw syscall.RawConn, limit time.Duration) error {
	var setErr error

	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})

	return errors.Wrap(errors.CombineErrors(err, setErr), "set acknowledgment timeout")
}

// Listener sets the acknowledgment timeout of DialTCP on the connections that it accepts.
type Listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	if raw, ok := accepted.(syscall.Conn); ok {
		if control, err := raw.SyscallConn(); err == nil {
			// An error is ignored: without the option, an unreachable peer is only detected later.
			_ = setAckTimeout(control, ackTimeout)
		}
	}

	return accepted, nil
}
