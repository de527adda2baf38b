package upstream

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/notice"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

const (
	// maxIdleConns is the maximum number of idle connections for each address.
	maxIdleConns = 64
	// maxResponseReads is the number of responses that are read from one connection to find the one to the current request:
	// late responses to earlier requests may come first.
	maxResponseReads = 3
	// maxDiscardBytes is the size below which the body of a refusal is read and discarded to reuse the connection.
	maxDiscardBytes = 64 << 10
	// largeBodyBytes is the size above which a request body is written while the response is read, because the server may
	// respond before it has read the body.
	largeBodyBytes = 16 << 10
	// readChunkBytes is the size of the buffer for reading response bodies.
	readChunkBytes = 16 << 10
	// writeFinishTimeout limits the wait for the end of writing a request whose response has already ended.
	writeFinishTimeout = time.Second
)

// errReceiverGone is returned when the receiver of a response has disconnected.
var errReceiverGone = errors.New("receiver disconnected")

// Client sends requests to backend servers over pooled connections. Its exported fields are set before use.
type Client struct {
	Codec Codec
	// Dial opens connections; nil uses DialTCP.
	Dial Dialer
	// OnDial is called before each dial; may be nil.
	OnDial func()
	// OnNotice is called with the notice in each response head of the backend server for which the request was intended; may be
	// nil.
	OnNotice func(instance string, n notice.Notice)
	// OnLimit is called with what each response of the backend server states about its limit, also if it names none, and with the time
	// at which the request was sent. A rejection that names no limit states nothing. It may be nil.
	OnLimit func(instance string, sentAt time.Time, limit throttle.Limit)
	// OnLoad is called with the load that each response of the backend server states; may be nil.
	OnLoad func(instance string, load Load)
	// VerifyEnds has the client open a connection after each response whose end is marked only by that of its connection, to find out
	// whether the server has ended. Such a response counts as broken off.
	VerifyEnds bool
	// Memory bounds the memory of the response heads of all requests under way, beyond their usual size; nil for no bound.
	Memory *memory.Budget

	idle idlePool[string, *conn]
}

// Emit receives the events of a response; an error means that the receiver has disconnected.
type Emit func(event message.Event) error

// Exchange sends the request once and returns Completed, Refused or Failed; all other events go to emit. The ResponseInfo is
// nil if no connection was made.
func (c *Client) Exchange(ctx context.Context, address string, delivery *message.Delivery, emit Emit) (message.Event, *ResponseInfo) {
	ready, err := c.acquire(ctx, address, delivery.ID)
	if err != nil {
		return message.Refused{Err: fault.Wrap(err, fault.NoServer, "backend server cannot be reached")}, nil
	}

	x := &exchange{client: c, conn: ready, delivery: delivery, emit: emit}
	stop := context.AfterFunc(ctx, func() { _ = ready.Close() })
	event, reuse := x.run()

	ready.head.kept.Release()

	event = c.verifyEnd(ctx, address, event, &x.info)

	if stop() && reuse && x.settled() {
		c.release(address, ready, x.info.IdleTimeout)
	} else {
		_ = ready.Close()
	}

	return event, &x.info
}

// acquire returns an idle connection that can be reused and has not carried the request, or a new one.
func (c *Client) acquire(ctx context.Context, address, id string) (*conn, error) {
	for {
		kept, ok := c.idle.pop(address, func(kept *conn) bool { return !kept.carried.has(id) })
		if !ok {
			break
		}

		if kept.reusable(time.Now()) {
			return kept, nil
		}

		_ = kept.Close()
	}

	raw, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}

	return newConn(raw, c.Memory), nil
}

// open opens a connection.
func (c *Client) open(ctx context.Context, address string) (net.Conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = DialTCP
	}

	if c.OnDial != nil {
		c.OnDial()
	}

	return dial(ctx, address)
}

// release returns a connection to the idle pool, and closes it if it has unread bytes or the pool is full.
func (c *Client) release(address string, used *conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}

	used.restoreAckTimeout()
	used.expires = time.Now().Add(idle - idleMargin)

	if used.reader.Buffered() > 0 || !c.idle.push(address, used) {
		_ = used.Close()
	}
}
