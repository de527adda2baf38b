package upstream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

const (
	// idleLimit is the number of unused connections kept for each address.
	idleLimit = 64
	// strayLimit is the number of answers to earlier requests that are passed over on one connection.
	strayLimit = 3
	// discardLimit is the size of a body that is read only to use its connection again, in bytes.
	discardLimit = 64 << 10
	// largeBody is the size above which a body is written while the answer is read, in bytes: a server may answer early.
	largeBody = 16 << 10
	// pieceSize is the most that is read of a body at once, in bytes.
	pieceSize = 16 << 10
	// restTime bounds the writing of the rest of a body whose answer is there already.
	restTime = time.Second
)

// errLeft says that the receiver of an answer has gone.
var errLeft = errors.New("the receiver has gone")

// Client sends deliveries. Its exported fields are set before use.
type Client struct {
	Codec Codec
	// Dial opens connections; nil uses DialTCP.
	Dial Dialer
	// OnDial is called before each dial; may be nil.
	OnDial func()

	idle stack[string, *conn]
}

// Emit takes the events of an answer; an error says that the receiver has gone.
type Emit func(event message.Event) error

// Exchange sends the request once and returns Ended, Refused or Failed; all other events go to emit.
func (c *Client) Exchange(ctx context.Context, address string, delivery *message.Delivery, emit Emit) (message.Event, *ResponseInfo) {
	ready, err := c.take(ctx, address)
	if err != nil {
		return message.Refused{Err: fault.Wrap(err, fault.NoServer, "backend server cannot be reached")}, nil
	}

	x := &exchange{client: c, conn: ready, delivery: delivery, emit: emit}
	stop := context.AfterFunc(ctx, func() { _ = ready.Close() })
	event, reuse := x.run()

	if stop() && reuse {
		c.keep(address, ready, x.reply.IdleTimeout)
	} else {
		_ = ready.Close()
	}

	return event, &x.reply
}

func (c *Client) take(ctx context.Context, address string) (*conn, error) {
	for {
		kept, ok := c.idle.pop(address)
		if !ok {
			break
		}

		if kept.quiet(time.Now()) {
			return kept, nil
		}

		_ = kept.Close()
	}

	dial := c.Dial
	if dial == nil {
		dial = DialTCP
	}

	if c.OnDial != nil {
		c.OnDial()
	}

	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}

	return newConn(raw), nil
}

func (c *Client) keep(address string, used *conn, idle time.Duration) {
	if idle <= 0 {
		idle = idleDefault
	}

	used.until = time.Now().Add(idle - idleMargin)

	if used.reader.Buffered() > 0 || !c.idle.push(address, used) {
		_ = used.Close()
	}
}
