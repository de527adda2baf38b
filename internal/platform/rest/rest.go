// Package rest calls the HTTP APIs of the platform's services and of the model servers, with limits on response sizes.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/framing"
)

// BodyLimit is the largest response body that is read, in bytes. The largest legitimate one is a snapshot of a fleet
// document with 40,000 adapters, at 2 to 3 MB.
const BodyLimit = 64 << 20

const (
	// DialTimeout bounds the TCP handshake, so that a VM that drops packets is detected quickly.
	DialTimeout = time.Second
	// maxIdleConnsPerHost is the maximum number of idle connections per address; a batch of requests to one model server
	// uses that many at once.
	maxIdleConnsPerHost = 64
	// MaxHeadBytes is the largest response head that is read, in bytes.
	MaxHeadBytes = 64 << 10
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 30 * time.Second
)

// Default is the HTTP client of calls without their own. It uses no proxy, because all addresses are in the internal
// network.
var Default = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: DialTimeout}).DialContext,
	MaxIdleConnsPerHost: maxIdleConnsPerHost,
	IdleConnTimeout:     idleConnTimeout,
	DisableCompression:  true,

	MaxResponseHeaderBytes: MaxHeadBytes,
}}

// ErrTooLarge is returned for a response body above BodyLimit.
var ErrTooLarge = errors.New("response body is too large")

// Call describes one HTTP request.
type Call struct {
	// HTTP is the HTTP client; nil selects Default. Redirects are never followed.
	HTTP   *http.Client
	Method string
	URL    string
	// Body is the request body; nil sends none.
	Body []byte
	// ContentType is the content type of Body.
	ContentType string
	// Header contains additional header fields; may be nil.
	Header http.Header
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	// Code is the HTTP status code.
	Code int
	// Kind is the error kind in the body; may be empty.
	Kind fault.Kind
	// Message is the error message in the body, or the status line if the body is not JSON.
	Message string
}

// Error implements the error interface.
func (s *StatusError) Error() string {
	return http.StatusText(s.Code) + ": " + s.Message
}

// ErrorResponse is the body of a response with a status other than 200.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail holds the error kind and message.
type ErrorDetail struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
}

// Open sends the call and returns the response body, which the caller must close. A response with a status other than 200 is
// returned as a *StatusError.
func Open(ctx context.Context, call Call) (io.ReadCloser, error) {
	response, err := send(ctx, call)
	if err != nil {
		return nil, err
	}

	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}

	defer func() { _ = response.Body.Close() }()

	return nil, newStatusError(response)
}

func send(ctx context.Context, call Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}

	for name, values := range call.Header {
		request.Header[name] = values
	}

	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}

	response, err := WithoutRedirects(call.HTTP).Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}

	if err := framing.CheckFinal(response); err != nil {
		_ = response.Body.Close()

		return nil, errors.Wrap(err, "read response")
	}

	return response, nil
}

// Bytes sends the call and returns the response body, which may have at most BodyLimit bytes.
func Bytes(ctx context.Context, call Call) ([]byte, error) {
	body, err := Open(ctx, call)
	if err != nil {
		return nil, err
	}

	defer func() { _ = body.Close() }()

	return ReadAll(body, BodyLimit)
}

// JSON sends in as JSON, unless it is nil, and decodes the response into out, unless that is nil.
func JSON(ctx context.Context, call Call, in, out any) error {
	call, err := call.withJSON(in)
	if err != nil {
		return err
	}

	body, err := Bytes(ctx, call)
	if err != nil || out == nil {
		return err
	}

	return errors.Wrap(json.Unmarshal(body, out), "decode response")
}

// OpenJSON sends in as JSON, unless it is nil, and returns the response body like Open.
func OpenJSON(ctx context.Context, call Call, in any) (io.ReadCloser, error) {
	call, err := call.withJSON(in)
	if err != nil {
		return nil, err
	}

	return Open(ctx, call)
}

// WithoutRedirects returns a copy of the client, or of Default if it is nil, that does not follow redirects: following one
// sends the call a second time.
func WithoutRedirects(client *http.Client) *http.Client {
	if client == nil {
		client = Default
	}

	copied := *client
	copied.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

	return &copied
}

func (c Call) withJSON(in any) (Call, error) {
	if in == nil {
		return c, nil
	}

	body, err := json.Marshal(in)
	c.Body = body
	c.ContentType = "application/json"

	return c, errors.Wrap(err, "encode request")
}

// ReadAll reads a body of at most limit bytes. It returns ErrTooLarge for a larger body.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}

	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}

	return data, nil
}

// maxErrorBytes is the maximum number of bytes read from an error response.
const maxErrorBytes = 64 << 10

func newStatusError(response *http.Response) *StatusError {
	statusErr := &StatusError{Code: response.StatusCode, Message: response.Status}

	var decoded ErrorResponse

	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&decoded); err == nil {
		statusErr.Kind = decoded.Error.Kind
		statusErr.Message = decoded.Error.Message
	}

	return statusErr
}
