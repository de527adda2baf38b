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
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/framing"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// BodyLimit is the default maximum size of a response body, in bytes.
const BodyLimit = 16 << 20

// writeTimeout limits the wait for the end of writing a request whose response has already ended.
const writeTimeout = time.Second

// RequestIDHeader is the header with the request id.
const RequestIDHeader = "X-Request-Id"

// unpooledClient dials a new connection for each call, because net/http retries requests only on reused connections.
var unpooledClient = &http.Client{Transport: &http.Transport{
	DialContext:        (&net.Dialer{Timeout: rest.DialTimeout}).DialContext,
	DisableKeepAlives:  true,
	DisableCompression: true,

	MaxResponseHeaderBytes: rest.MaxHeadBytes,
}}

// connectionHeaders are the hop-by-hop headers, which are removed from responses.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Trailer": true,
	"Upgrade": true, "Te": true,
}

// Client is a Caller over HTTP.
type Client struct {
	// URL is the base URL of the plain service.
	URL string
	// HTTP is the HTTP client; nil uses one that dials a new connection for each call. Redirects are never followed.
	HTTP *http.Client
	// Limit is the maximum size of a response body, in bytes; 0 means BodyLimit.
	Limit int64
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, request Request) (Response, error) {
	// connected is set before the first byte can be written to a connection, and written receives the result of writing the request.
	var connected atomic.Bool

	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case written <- info.Err:
			default:
			}
		},
	}

	outgoing, err := c.build(httptrace.WithClientTrace(ctx, trace), request)
	if err != nil {
		return Response{}, fault.Wrap(err, fault.NoServer, "call was not sent")
	}

	response, err := c.client().Do(outgoing)
	if err != nil && !connected.Load() {
		return Response{}, fault.Wrap(err, fault.NoServer, "call was not sent")
	}

	if err != nil {
		return Response{}, fault.Wrap(err, fault.OutcomeUnknown, "no response to the call")
	}

	defer func() { _ = response.Body.Close() }()

	if err := framing.CheckFinal(response); err != nil {
		return Response{}, fault.Wrap(err, fault.OutcomeUnknown, "no response to the call")
	}

	body, err := c.readBody(response, written)
	if err != nil {
		return Response{}, fault.Wrap(err, fault.OutcomeUnknown, "incomplete response to the call")
	}

	return Response{Status: response.StatusCode, Headers: headersOf(response.Header), Body: body}, nil
}

// readBody reads the whole body of a response and returns an error if it is known to be incomplete, or if only the end of the connection marks its
// end and the request was not written: the writer of a request may get the error of a reset, and the reader an ordinary end.
func (c *Client) readBody(response *http.Response, written <-chan error) ([]byte, error) {
	body, err := rest.ReadAll(response.Body, c.limit())
	if err != nil {
		return nil, err
	}

	eventStream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	check := framing.Body{Kind: framing.Of(response), EventStream: eventStream}

	if _, err := check.Scan(body); err != nil {
		return nil, err
	}

	if err := check.CheckEnd(); err != nil {
		return nil, err
	}

	if check.Kind == framing.Connection {
		return body, awaitWrite(written)
	}

	return body, nil
}

// awaitWrite waits for up to writeTimeout until the request is written, and returns an error unless it is.
func awaitWrite(written <-chan error) error {
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()

	select {
	case err := <-written:
		return errors.Wrap(err, "write request")
	case <-timer.C:
		return errors.New("the service has not taken the whole request")
	}
}

func (c *Client) build(ctx context.Context, request Request) (*http.Request, error) {
	target, err := url.Parse(c.URL)
	if err != nil {
		return nil, errors.Wrap(err, "parse URL of the service")
	}

	target.Path = strings.TrimSuffix(target.Path, "/") + request.Path
	target.RawQuery = request.Query

	outgoing, err := http.NewRequestWithContext(ctx, request.Method, target.String(), &onceBody{data: bytes.NewReader(request.Body)})
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

	return rest.WithoutRedirects(unpooledClient)
}

func (c *Client) limit() int64 {
	if c.Limit > 0 {
		return c.Limit
	}

	return BodyLimit
}

// onceBody is a request body of a type for which net/http sets no GetBody. net/http can therefore not retry the request,
// even if it has an idempotency key or an empty body.
type onceBody struct {
	data io.Reader
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	return b.data.Read(p)
}

// Close implements io.Closer.
func (b *onceBody) Close() error {
	return nil
}

// headersOf returns the headers of a response, sorted by name, without the hop-by-hop headers.
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
