// Package client calls the operator API.
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
	// callTimeout bounds one call; a commit at a slow table takes a few seconds.
	callTimeout = 15 * time.Second
	// answerLimit bounds an answer; a whole document has 2 to 3 MB.
	answerLimit = 64 << 20
)

// ErrUnreachable says that no entry answered.
var ErrUnreachable = errors.New("no entry answers")

// ResponseError is an error response from an entry.
type ResponseError struct {
	Status int
	Detail api.ErrorDetail
	// Changes were committed since the version on which a conflicting change was based.
	Changes []document.Change
}

// Error implements error.
func (r *ResponseError) Error() string {
	return r.Detail.Code + ": " + r.Detail.Message
}

// Kind returns the kind of the error.
func (r *ResponseError) Kind() fault.Kind {
	return fault.Kind(r.Detail.Code)
}

// Client calls the operator API at the first entry that answers. Every change carries an id, so it is safe to repeat a
// call at another entry when the first one's answer was lost.
type Client struct {
	// Addresses are the base URLs of entries, in the order in which they are tried.
	Addresses []string
	// Token is the operator's token.
	Token string
	// HTTP sends the requests; nil uses one that opens a connection for each call.
	HTTP *http.Client
}

// New returns a Client. Connections are not reused, because net/http sends some requests again on a reused one.
func New(token string, addresses ...string) *Client {
	transport := &http.Transport{DisableKeepAlives: true}

	return &Client{Addresses: addresses, Token: token, HTTP: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Get reads a resource.
func (c *Client) Get(ctx context.Context, path string, query url.Values, into any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}

	return c.call(ctx, http.MethodGet, path, nil, into)
}

// Post sends a request.
func (c *Client) Post(ctx context.Context, path string, request, into any) error {
	return c.call(ctx, http.MethodPost, path, request, into)
}

// Put sends a request that replaces an item.
func (c *Client) Put(ctx context.Context, path string, request, into any) error {
	return c.call(ctx, http.MethodPut, path, request, into)
}

func (c *Client) call(ctx context.Context, method, path string, request, into any) error {
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

	last := errors.New("no address is given")

	for _, address := range c.Addresses {
		var refusal *ResponseError

		last = c.send(ctx, method, address+api.Prefix+path, body, into)
		if last == nil || errors.As(last, &refusal) && !elsewhere(refusal) {
			return last
		}
	}

	var refusal *ResponseError
	if errors.As(last, &refusal) {
		return last
	}

	const advice = "no entry can be reached at %s; check that one runs there and listens, or give another address"

	return errors.Mark(errors.Wrapf(last, advice, strings.Join(c.Addresses, ", ")), ErrUnreachable)
}

// elsewhere reports whether another entry may do better.
func elsewhere(refusal *ResponseError) bool {
	return refusal.Kind() == fault.NotReady || refusal.Kind() == fault.StaleConfig
}

func (c *Client) send(ctx context.Context, method, target string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}

	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")

	response, err := c.HTTP.Do(request)
	if err != nil {
		return errors.Wrap(err, "call entry")
	}

	defer func() { _ = response.Body.Close() }()

	answer, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}

	if response.StatusCode >= http.StatusBadRequest {
		return refusal(response.StatusCode, answer)
	}

	return errors.Wrap(json.Unmarshal(answer, into), "decode answer")
}

func refusal(status int, answer []byte) error {
	var body api.ErrorResponse

	if err := json.Unmarshal(answer, &body); err != nil || body.Error.Code == "" {
		return errors.Newf("status %d without an error that this version knows", status)
	}

	return &ResponseError{Status: status, Detail: body.Error, Changes: body.Changes}
}
