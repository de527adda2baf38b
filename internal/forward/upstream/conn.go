package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
)

const (
	// dialTimeout limits the time to open a connection, so that a VM that drops packets is detected soon.
	dialTimeout = time.Second
	// ackTimeout closes a connection whose peer acknowledges nothing for this long.
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

// DialTCP opens a connection that is closed if the peer stops acknowledging data.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setAckTimeout}

	raw, err := dialer.DialContext(ctx, "tcp", address)

	return raw, errors.Wrap(err, "dial")
}

// setAckTimeout sets TCP_USER_TIMEOUT to ackTimeout.
func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error

	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
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
			_ = setAckTimeout("", "", control)
		}
	}

	return accepted, nil
}
