package link

import (
	"context"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// originServer knows every stream.
type originServer struct {
	relay.DRPCRelayUnimplementedServer
}

func (*originServer) FindOrigin(context.Context, *relay.OriginQuery) (*relay.OriginReply, error) {
	return &relay.OriginReply{Origin: &relay.Origin{Server: "i-7f3a91c2", Software: "v1.1", Known: true}}, nil
}

// countingConn counts the bytes that are written and read.
type countingConn struct {
	net.Conn
	bytes *int
}

func (c countingConn) Write(data []byte) (int, error) {
	*c.bytes += len(data)
	return c.Conn.Write(data)
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	*c.bytes += n

	return n, err
}

// BenchmarkFindOrigin measures one question for the begin of a stream to one agent, both ends in one process, and its bytes both ways.
func BenchmarkFindOrigin(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}

	go func() {
		_ = conn.Serve(b.Context(), listener, func(mux *drpcmux.Mux) error { return relay.DRPCRegisterRelay(mux, &originServer{}) })
	}()

	bytes := 0
	pool := conn.New(func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
		return countingConn{raw, &bytes}, err
	})

	query := &relay.OriginQuery{Entry: "front-occ-a-1", Attempt: []byte("9c41d07be2a35f68")}

	for b.Loop() {
		if _, err := relay.NewDRPCRelayClient(pool.Get(listener.Addr().String())).FindOrigin(b.Context(), query); err != nil {
			b.Fatal(err)
		}
	}

	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
}
