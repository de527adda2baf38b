package slopes

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// byteCounter counts the bytes that its connections transfer in both directions.
type byteCounter struct {
	bytes atomic.Int64
}

// dial opens a TCP connection whose bytes are counted.
func (c *byteCounter) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer

	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	return &countedConn{Conn: raw, counter: c}, nil
}

// client returns an HTTP client whose bytes are counted.
func (c *byteCounter) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return c.dial(ctx, address) },
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}}
}

// bytesPerCall returns the bytes of one call over a connection that is already open.
func (c *byteCounter) bytesPerCall(call func()) float64 {
	call()

	before := c.bytes.Load()
	call()

	return float64(c.bytes.Load() - before)
}

type countedConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counter.bytes.Add(int64(n))

	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counter.bytes.Add(int64(n))

	return n, err
}
