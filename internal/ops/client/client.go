// Package client is an HTTP client of the operator API.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
)

const (
	// callTimeout bounds one request; a commit takes a few seconds when the table service is slow.
	callTimeout = 15 * time.Second
	// maxResponseBytes bounds a response body; a full document has 2 to 3 MB.
	maxResponseBytes = 64 << 20
)

// ErrUnreachable is returned when no entry responds.
var ErrUnreachable = errors.New("no entry is reachable")

// ResponseError is an error response from an entry.
type ResponseError struct {
	// Status is the HTTP status code.
	Status int
	Detail api.ErrorDetail
	// Changes lists the changes committed since the version on which a conflicting change was based.
	Changes []document.Change
}

// Error implements the error interface.
func (e *ResponseError) Error() string {
	return e.Detail.Code + ": " + e.Detail.Message
}

// Kind returns the error kind.
func (e *ResponseError) Kind() fault.Kind {
	return fault.Kind(e.Detail.Code)
}

// Client sends each request to the first entry that responds. Every change carries an idempotency key, so a request whose
// response was lost is safely retried at another entry.
type Client struct {
	// Addresses are the base URLs of entries, in the order in which they are tried.
	Addresses []string
	// Token is the operator's token.
	Token string
	// HTTP is the HTTP client; it must not be nil.
	HTTP *http.Client
}

// New returns a Client. Keep-alive is disabled, because net/http retries some requests when a reused connection fails.
func New(token string, addresses ...string) *Client {
	transport := &http.Transport{DisableKeepAlives: true}

	return &Client{Addresses: addresses, Token: token, HTTP: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Get fetches a resource and decodes it into out.
func (c *Client) Get(ctx context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}

	return c.call(ctx, http.MethodGet, path, nil, out)
}

// Post sends a request and decodes the response into out.
func (c *Client) Post(ctx context.Context, path string, request, out any) error {
	return c.call(ctx, http.MethodPost, path, request, out)
}

// Put replaces an item and decodes the response into out.
func (c *Client) Put(ctx context.Context, path string, request, out any) error {
	return c.call(ctx, http.MethodPut, path, request, out)
}

func (c *Client) call(ctx context.Context, method, path string, request, out any) error {
	var (
		body []byte
		err  error
	)

	if request != nil {
		body, err = json.Marshal(request)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
	}

	lastErr := errors.New("no entry address is configured")

	for _, address := range c.Addresses {
		var responseErr *ResponseError

		lastErr = c.send(ctx, method, address+api.Prefix+path, body, out)
		if lastErr == nil || errors.As(lastErr, &responseErr) && !retryable(responseErr) {
			return lastErr
		}
	}

	var responseErr *ResponseError
	if errors.As(lastErr, &responseErr) {
		return lastErr
	}

	const advice = "no entry can be reached at %s; check that one runs there and listens, or give another address"

	return errors.Mark(errors.Wrapf(lastErr, advice, strings.Join(c.Addresses, ", ")), ErrUnreachable)
}

// retryable reports whether another entry may be able to serve the request.
func retryable(err *ResponseError) bool {
	return err.Kind() == fault.NotReady || err.Kind() == fault.StaleConfig
}

func (c *Client) send(ctx context.Context, method, target string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}

	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")

	response, err := c.HTTP.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}

	defer func() { _ = response.Body.Close() }()

	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}

	if response.StatusCode >= http.StatusBadRequest {
		return decodeError(response.StatusCode, data)
	}

	return errors.Wrap(json.Unmarshal(data, out), "decode response")
}

func decodeError(status int, data []byte) error {
	var body api.ErrorResponse

	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return errors.Newf("status %d with an unknown error body", status)
	}

	return &ResponseError{Status: status, Detail: body.Error, Changes: body.Changes}
}
