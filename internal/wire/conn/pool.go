// Package conn dials, pools and serves drpc connections between processes.
package conn

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// idleExpiration is how long an idle connection stays in the pool.
	idleExpiration = 30 * time.Second
	// addressCapacity is the maximum number of idle connections per address.
	addressCapacity = 32
	// dialTimeout is the timeout of a TCP dial; it is short so that a VM that drops packets is detected quickly.
	dialTimeout = time.Second
	// MaxMessageBytes is the maximum size of a message: a request body of 4 MB, the largest that a client may send, with its headers.
	MaxMessageBytes = 5 << 20
	// MaxPooledBytes is the maximum size of a message on a connection of the pool. The receiver keeps the buffer of a larger one as long as the
	// connection is open, also while it is idle.
	MaxPooledBytes = 48 << 10
	// keptBufferBytes is the size of the buffer that an idle connection keeps.
	keptBufferBytes = 64 << 10
	// cancelGrace is how long a canceled stream may take to finish its current send before its connection is closed.
	cancelGrace = 100 * time.Millisecond
)

// ErrDial marks the errors of failed dials: no connection was established, so nothing was sent.
var ErrDial = errors.New("no connection")

// ErrNotSent marks the errors of messages that were not written to their end: the peer has not received the whole message.
var ErrNotSent = errors.New("message not sent")

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Pool keeps idle drpc connections by address. A drpc connection carries one call at a time, so concurrent calls to one
// address use separate connections.
type Pool struct {
	dial Dialer
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// New returns a Pool that opens connections with dial; a nil dial opens TCP connections.
func New(dial Dialer) *Pool {
	if dial == nil {
		dial = dialTCP
	}

	options := drpcpool.Options{Expiration: idleExpiration, KeyCapacity: addressCapacity}

	return &Pool{dial: dial, pool: drpcpool.New[string, drpcpool.Conn](options)}
}

// Get returns a connection to the address that takes an idle connection from the pool, or dials, on each call.
func (p *Pool) Get(address string) drpc.Conn {
	return p.pool.Get(context.Background(), address, p.connect)
}

// Open dials a connection to the address for one large message. The caller closes it.
func (p *Pool) Open(ctx context.Context, address string) (drpc.Conn, error) {
	return p.connect(ctx, address)
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	return errors.Wrap(p.pool.Close(), "close idle connections")
}

func (p *Pool) connect(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrDial)
	}

	counted := &transport{Conn: raw}

	return &client{Conn: drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: ManagerOptions()}), transport: counted}, nil
}

// ManagerOptions returns the drpc options that both clients and servers use.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream:     drpcstream.Options{MaximumBufferSize: keptBufferBytes},
		SoftCancel: true, SoftCancelGrace: cancelGrace,
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}

	return dialer.DialContext(ctx, "tcp", address)
}
