package object

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// Client implements Store over HTTP.
type Client struct {
	// URL is the base URL of the object store.
	URL string
	// HTTP is the HTTP client; nil selects rest.Default.
	HTTP *http.Client
}

// ListResponse is the response to a list call.
type ListResponse struct {
	Keys []string `json:"keys"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	value, err := rest.Bytes(ctx, c.call(http.MethodGet, "/object", "key", key))

	return value, wrapError(err, "get "+key)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	call := c.call(http.MethodPut, "/object", "key", key)
	call.Body = value
	call.ContentType = "application/octet-stream"

	_, err := rest.Bytes(ctx, call)

	return wrapError(err, "put "+key)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	var response ListResponse

	err := rest.JSON(ctx, c.call(http.MethodGet, "/objects", "prefix", prefix), nil, &response)

	return response.Keys, wrapError(err, "list "+prefix)
}

func (c *Client) call(method, path, name, value string) rest.Call {
	target := c.URL + path + "?" + url.Values{name: {value}}.Encode()

	return rest.Call{HTTP: c.HTTP, Method: method, URL: target}
}

// wrapError returns err with its error kind: fault.NotFound for status 404, otherwise fault.BackendFailed, because the
// object store is a server that this process calls and there is no kind of its own for it.
func wrapError(err error, action string) error {
	if err == nil {
		return nil
	}

	var statusErr *rest.StatusError

	if errors.As(err, &statusErr) && statusErr.Code == http.StatusNotFound {
		return fault.New(fault.NotFound, "%s", statusErr.Message)
	}

	return fault.Wrap(err, fault.BackendFailed, "object store: %s", action)
}
