package upstream

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/framing"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

const (
	// stateClosed is the state of a TCP connection that was reset, and is not closed here; as in the Linux header tcp_states.h.
	stateClosed = 7
	// unackedPollPeriod is the time between two looks whether the peer has acknowledged the request.
	unackedPollPeriod = 5 * time.Millisecond
)

// checkConnectionEnd returns an error unless the connection, whose end marks that of the response, has ended in good order. The error of a
// reset is reported once: if the writer of a request gets it, the reader sees an ordinary end. A server that ends its response before it has taken
// the whole request, and does not read on, cannot be told from one that was cut off, so that its response counts as broken off.
func (x *exchange) checkConnectionEnd() error {
	if err := x.write.wait(); err != nil {
		return err
	}

	for end := time.Now().Add(writeFinishTimeout); ; time.Sleep(unackedPollPeriod) {
		acked, err := x.conn.checkState()
		if acked || err != nil {
			return err
		}

		if time.Now().After(end) {
			return errRequestUnread
		}
	}
}

// checkState reports whether the peer has acknowledged all that was sent, and returns an error if the connection was reset.
func (c *conn) checkState() (acked bool, err error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true, nil
	}

	control, err := raw.SyscallConn()
	if err != nil {
		return false, errors.Wrap(err, "get descriptor")
	}

	var (
		info    *unix.TCPInfo
		infoErr error
	)

	err = control.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err := errors.CombineErrors(err, infoErr); err != nil {
		return false, errors.Wrap(err, "read state of the connection")
	}

	if info.State == stateClosed {
		return false, errors.Wrap(syscall.ECONNRESET, "read body")
	}

	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}

// verifyEnd returns the outcome of an exchange, which is a failure if the response may not be complete because its server has ended.
func (c *Client) verifyEnd(ctx context.Context, address string, outcome message.Event, info *ResponseInfo) message.Event {
	_, completed := outcome.(message.Completed)
	if !completed || !c.VerifyEnds || info.Framing != framing.Connection || !c.IsClosed(ctx, address) {
		return outcome
	}

	info.EndedInBody = true

	return message.Failed{Err: fault.New(fault.OutcomeUnknown, "the server ended with its response")}
}

// IsClosed opens a connection to find out whether no process listens at an address any more. It is false if the address cannot be
// reached, or does not respond before the context ends.
func (c *Client) IsClosed(ctx context.Context, address string) bool {
	raw, err := c.open(ctx, address)
	if err == nil {
		_ = raw.Close()
		return false
	}

	return errors.Is(err, syscall.ECONNREFUSED)
}
