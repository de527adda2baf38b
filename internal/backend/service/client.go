package service

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// BodyLimit is the largest response body of a plain service that is read, in bytes.
const BodyLimit = 16 << 20

// RequestIDHeader carries the request id.
const RequestIDHeader = "X-Request-Id"

// fresh dials a connection for each call, because net/http repeats requests only on reused connections.
var fresh = &http.Client{Transport: &http.Transport{
	DialContext:        (&net.Dialer{Timeout: rest.DialTimeout}).DialContext,
	DisableKeepAlives:  true,
	DisableCompression: true,
}}

// connectionHeaders concern one connection only and are not part of a response.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Trailer": true,
	"Upgrade": true, "Te": true,
}

// Client is a Caller over HTTP.
type Client struct {
	// URL is the base URL of the plain service.
	URL string
	// HTTP is the client to use; nil uses one that dials for each call. Redirects are never followed.
	HTTP *http.Client
	// Limit is the largest response body, in bytes; 0 means BodyLimit.
	Limit int64
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, request Request) (Response, error) {
	// connected is set before anything can be written.
	var connected atomic.Bool

	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}

	outgoing, err := c.build(httptrace.WithClientTrace(ctx, trace), request)
	if err != nil {
		return Response{}, fault.Wrap(err, fault.NoServer, "call was not sent")
	}

	response, err := c.client().Do(outgoing)
	if err != nil && !connected.Load() {
		return Response{}, fault.Wrap(err, fault.NoServer, "call was not sent")
	}

	if err != nil {
		return Response{}, fault.Wrap(err, fault.OutcomeUnknown, "no answer to the call")
	}

	defer func() { _ = response.Body.Close() }()

	body, err := rest.ReadAll(response.Body, c.limit())
	if err != nil {
		return Response{}, fault.Wrap(err, fault.OutcomeUnknown, "no whole answer to the call")
	}

	return Response{Status: response.StatusCode, Headers: headersOf(response.Header), Body: body}, nil
}

func (c *Client) build(ctx context.Context, request Request) (*http.Request, error) {
	target, err := url.Parse(c.URL)
	if err != nil {
		return nil, errors.Wrap(err, "parse URL of the service")
	}

	target.Path = strings.TrimSuffix(target.Path, "/") + request.Path
	target.RawQuery = request.Query

	outgoing, err := http.NewRequestWithContext(ctx, request.Method, target.String(), &once{data: bytes.NewReader(request.Body)})
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}

	for _, header := range request.Headers {
		outgoing.Header.Add(header.Name, header.Value)
	}

	outgoing.Header.Set(RequestIDHeader, request.ID)
	outgoing.ContentLength = int64(len(request.Body))

	return outgoing, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return rest.WithoutRedirects(c.HTTP)
	}

	return rest.WithoutRedirects(fresh)
}

func (c *Client) limit() int64 {
	if c.Limit > 0 {
		return c.Limit
	}

	return BodyLimit
}

// once is a request body of a type for which net/http has no GetBody, so that it cannot repeat the request, not even
// one with an idempotency key or without content.
type once struct {
	data io.Reader
}

// Read implements io.Reader.
func (o *once) Read(p []byte) (int, error) {
	return o.data.Read(p)
}

// Close implements io.Closer.
func (o *once) Close() error {
	return nil
}

func headersOf(header http.Header) []Header {
	var headers []Header

	for _, name := range slices.Sorted(maps.Keys(header)) {
		for _, value := range header[name] {
			if !connectionHeaders[name] {
				headers = append(headers, Header{Name: name, Value: value})
			}
		}
	}

	return headers
}
