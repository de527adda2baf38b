package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// Client is an Engine over HTTP.
type Client struct {
	// URL is the base URL of the engine.
	URL string
	// HTTP is the HTTP client; nil uses rest.Default. It must not set an overall timeout, which would interrupt streams.
	HTTP *http.Client
}

// CancelRequest is the request body of /cancel.
type CancelRequest struct {
	ID string `json:"id"`
}

// Info implements Engine.
func (c *Client) Info(ctx context.Context) (Info, error) {
	var info Info

	err := c.call(ctx, http.MethodGet, "/info", nil, &info)

	return info, err
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var report Report

	err := c.call(ctx, http.MethodGet, "/report", nil, &report)

	return report, err
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, order Order) error {
	return c.call(ctx, http.MethodPost, "/order", order, nil)
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodPost, "/cancel", CancelRequest{ID: id}, nil)
}

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, request Request) (Stream, error) {
	return c.open(ctx, http.MethodPost, "/generate", request)
}

// Resume implements Engine.
func (c *Client) Resume(ctx context.Context, id string, seq int64) (Stream, error) {
	query := url.Values{"id": {id}, "seq": {strconv.FormatInt(seq, 10)}}

	return c.open(ctx, http.MethodGet, "/resume?"+query.Encode(), nil)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	err := rest.JSON(ctx, rest.Call{HTTP: c.HTTP, Method: method, URL: c.URL + path}, in, out)

	return withKind(ctx, err, method+" "+path)
}

func (c *Client) open(ctx context.Context, method, path string, in any) (Stream, error) {
	body, err := rest.OpenJSON(ctx, rest.Call{HTTP: c.HTTP, Method: method, URL: c.URL + path}, in)
	if err != nil {
		return nil, withKind(ctx, err, method+" "+path)
	}

	return newStream(ctx, body), nil
}

// withKind wraps err in an error of one of the kinds that Engine documents.
func withKind(ctx context.Context, err error, action string) error {
	if err == nil {
		return nil
	}

	var status *rest.StatusError

	if errors.As(err, &status) {
		return fault.Wrap(err, statusKind(status), "engine: %s", action)
	}

	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.Wrap(err, fault.Canceled, "engine: %s", action)
	case ctx.Err() != nil:
		return fault.Wrap(err, fault.DeadlineExceeded, "engine: %s", action)
	default:
		return fault.Wrap(err, fault.BackendFailed, "engine: %s", action)
	}
}

// statusKind returns the kind for an error status of the engine.
func statusKind(status *rest.StatusError) fault.Kind {
	switch status.Kind {
	case fault.NotFound, fault.Conflict, fault.AdapterUnavailable, fault.Overloaded:
		return status.Kind
	default:
		return fault.BackendFailed
	}
}
