package graceful_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// stall is the time for which a starved process stands still in a test.
	stall = 2 * time.Second
	// testGracePeriod bounds the drain of a test server.
	testGracePeriod = 10 * time.Second
)

// stallingListener stands still after Accept, and before the first call of Read that finds bytes.
type stallingListener struct {
	net.Listener
	accept, read time.Duration
}

func (l stallingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	time.Sleep(l.accept)

	return &stallingConn{Conn: accepted, before: sync.OnceFunc(func() { time.Sleep(l.read) })}, err
}

type stallingConn struct {
	net.Conn
	before func()
}

func (c *stallingConn) Read(buffer []byte) (int, error) {
	c.before()

	return c.Conn.Read(buffer)
}

// Guards against a request that is run or read and gets no response, because its server stops when nothing is known of it (LOST late in the
// grace period).
func TestDrainAnswersRequestsThatHaveArrived(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

	cases := map[string]struct {
		before, parts []string
		// fresh connections are opened just before the request is sent.
		fresh                        bool
		accept, arrive, read, parsed time.Duration
	}{
		"head in part, new":    {parts: []string{request[:8], "", request[8:]}},
		"head in part, kept":   {before: []string{request}, parts: []string{request[:8], "", request[8:]}},
		"one byte, kept":       {before: []string{request}, parts: []string{request[:1], "", request[1:]}},
		"accepted, not served": {parts: []string{request}, fresh: true, accept: stall},
		"arrived, not read":    {parts: []string{request}, fresh: true, arrive: stall},
		"read, not known, new": {parts: []string{request}, read: stall},
		"read, not known":      {before: []string{request}, parts: []string{request}, read: stall},
		"parsed, not known":    {before: []string{request}, parts: []string{request}, parsed: stall},
		"pipelined":            {parts: []string{request + request}, parsed: stall},
		"no request, new":      {},
		"no request, kept":     {before: []string{request}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &parsingServer{wrap: func(l net.Listener) net.Listener { return stallingListener{l, c.accept, c.arrive} }}
				server.Handler = http.HandlerFunc(server.serveEcho)
				begun := false
				server.afterRead = func() {
					if begun {
						time.Sleep(c.read)
					}
				}
				server.onParsed = func() {
					if begun {
						time.Sleep(c.parsed)
					}
				}
				server.start(t)

				client := server.dial(t)
				responses := bufio.NewReader(client)

				go send(client, c.before)

				if len(c.before) > 0 {
					assert.Assert(t, readResponse(responses))
				}

				if !c.fresh {
					time.Sleep(newConnectionAge)
				}

				begun = true

				go send(client, c.parts)

				time.Sleep(stall / 4)

				drained := make(chan time.Duration)

				go func() { drained <- server.drain() }()

				answered := int64(len(c.before))
				for readResponse(responses) {
					answered++
				}

				assert.Assert(t, <-drained < testGracePeriod)
				assert.Equal(t, answered, server.served.Load())

				if len(c.parts) > 0 {
					assert.Assert(t, answered > int64(len(c.before)), "the request has no response")
				}
			})
		})
	}
}

// drain stops the server and returns how long that takes.
func (s *parsingServer) drain() time.Duration {
	started := time.Now()

	ctx, cancel := context.WithTimeout(context.Background(), testGracePeriod)
	defer cancel()

	s.SetKeepAlivesEnabled(false)
	s.listener.Drain(ctx)

	closing, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer stop()

	_ = s.Shutdown(closing)
	s.listener.Wait(closing)

	return time.Since(started)
}
