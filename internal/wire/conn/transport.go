package conn

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
)

// transport is a connection that counts the bytes that were written.
type transport struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (t *transport) Write(data []byte) (int, error) {
	n, err := t.Conn.Write(data)
	t.written.Add(int64(n))

	return n, err //nolint:wrapcheck // drpc wraps it
}

// client is a drpc connection whose streams mark the errors of messages that were not written to their end.
type client struct {
	*drpcconn.Conn
	transport *transport
}

// NewStream implements drpc.Conn. If it fails, no message was sent yet.
func (c *client) NewStream(ctx context.Context, rpc string, encoding drpc.Encoding) (drpc.Stream, error) {
	opened, err := c.Conn.NewStream(ctx, rpc, encoding)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}

	return &stream{Stream: opened, transport: c.transport}, nil
}

// stream is a stream of a client.
type stream struct {
	drpc.Stream
	transport *transport
}

// MsgSend implements drpc.Stream. An error alone does not show that the message was not sent: drpc also returns one if the stream ends just after
// the last byte.
func (s *stream) MsgSend(message drpc.Message, encoding drpc.Encoding) error {
	before := s.transport.written.Load()

	err := s.Stream.MsgSend(message, encoding)
	if err == nil {
		return nil
	}

	data, failed := encoding.Marshal(message)

	switch {
	case failed != nil:
		return err //nolint:wrapcheck // the error of drpc
	case s.transport.written.Load()-before < int64(len(data)):
		return errors.Mark(err, ErrNotSent)
	default:
		return s.reason(err)
	}
}

// CloseSend implements drpc.Stream.
func (s *stream) CloseSend() error {
	if err := s.Stream.CloseSend(); err != nil {
		return s.reason(err)
	}

	return nil
}

// reason returns the error with which the peer has ended the stream if it has a code, and otherwise that of a send which failed. A send fails with
// another error if the peer refuses a message and closes the connection meanwhile.
func (s *stream) reason(sendError error) error {
	receiver, ok := s.Stream.(interface{ RawRecv() ([]byte, error) })
	if !ok {
		return sendError
	}

	// The stream ends with a failed send, so that this does not wait for a message.
	if _, err := receiver.RawRecv(); drpcerr.Code(err) != 0 {
		return err //nolint:wrapcheck // the error of drpc
	}

	return sendError
}
