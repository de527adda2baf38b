// Package rest makes bounded JSON calls over HTTP to the platform's services and to engines.
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
)

// BodyLimit is the largest response body that is read, in bytes. The largest legitimate one is a snapshot of a fleet
// document with 40,000 adapters, at 2 to 3 MB.
const BodyLimit = 64 << 20

const (
	// DialTimeout bounds a TCP dial, so that a VM that drops packets is noticed soon.
	DialTimeout = time.Second
	// idleConnections is the number of idle connections kept for each address; a batch of requests to one engine uses
	// that many at once.
	idleConnections = 64
	// idleExpiration closes connections that were not used for this long.
	idleExpiration = 30 * time.Second
)

// Default is the HTTP client of calls that name none. It uses no proxy, because addresses are those of the own network.
var Default = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: DialTimeout}).DialContext,
	MaxIdleConnsPerHost: idleConnections,
	IdleConnTimeout:     idleExpiration,
	DisableCompression:  true,
}}

// ErrTooLarge is returned for a response body above BodyLimit.
var ErrTooLarge = errors.New("response body is too large")

// Call is one HTTP call.
type Call struct {
	// HTTP is the client to use; nil uses Default. Redirects are never followed.
	HTTP   *http.Client
	Method string
	URL    string
	// Body is sent as it is; nil sends none.
	Body []byte
	// ContentType is the content type of Body.
	ContentType string
	// Header holds further header fields; nil sends none.
	Header http.Header
}

// StatusError is an answer other than 200.
type StatusError struct {
	// Code is the HTTP status code.
	Code int
	// Kind is the error kind in the body; may be empty.
	Kind fault.Kind
	// Message is the error message in the body.
	Message string
}

// Error implements error.
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

// Open sends the call and returns the response body, which the caller must close. An answer other than 200 is a
// *StatusError error.
func Open(ctx context.Context, call Call) (io.ReadCloser, error) {
	response, err := send(ctx, call)
	if err != nil {
		return nil, err
	}

	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}

	defer func() { _ = response.Body.Close() }()

	return nil, statusOf(response)
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

	return response, errors.Wrap(err, "send request")
}

// Bytes sends the call and returns the whole response body.
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
	call, err := call.encode(in)
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
	call, err := call.encode(in)
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

	once := *client
	once.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

	return &once
}

func (c Call) encode(in any) (Call, error) {
	if in == nil {
		return c, nil
	}

	body, err := json.Marshal(in)
	c.Body = body
	c.ContentType = "application/json"

	return c, errors.Wrap(err, "encode request")
}

// ReadAll reads a body of at most limit bytes.
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

// problemLimit bounds the error body that is read, in bytes.
const problemLimit = 64 << 10

func statusOf(response *http.Response) *StatusError {
	status := &StatusError{Code: response.StatusCode, Message: response.Status}

	var problem ErrorResponse

	if err := json.NewDecoder(io.LimitReader(response.Body, problemLimit)).Decode(&problem); err == nil {
		status.Kind = problem.Error.Kind
		status.Message = problem.Error.Message
	}

	return status
}
