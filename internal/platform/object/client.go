package object

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// Client is a Store over HTTP.
type Client struct {
	// URL is the base URL of the object store.
	URL string
	// HTTP is the client to use; nil uses rest.Default.
	HTTP *http.Client
}

// ListResponse is the response to a list call.
type ListResponse struct {
	Keys []string `json:"keys"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	value, err := rest.Bytes(ctx, c.call(http.MethodGet, "/object", "key", key))

	return value, kinded(err, "get "+key)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	call := c.call(http.MethodPut, "/object", "key", key)
	call.Body = value
	call.ContentType = "application/octet-stream"

	_, err := rest.Bytes(ctx, call)

	return kinded(err, "put "+key)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	var reply ListResponse

	err := rest.JSON(ctx, c.call(http.MethodGet, "/objects", "prefix", prefix), nil, &reply)

	return reply.Keys, kinded(err, "list "+prefix)
}

func (c *Client) call(method, path, name, value string) rest.Call {
	target := c.URL + path + "?" + url.Values{name: {value}}.Encode()

	return rest.Call{HTTP: c.HTTP, Method: method, URL: target}
}

func kinded(err error, action string) error {
	if err == nil {
		return nil
	}

	var status *rest.StatusError

	if errors.As(err, &status) && status.Code == http.StatusNotFound {
		return fault.New(fault.NotFound, "%s", status.Message)
	}

	return fault.Wrap(err, fault.BackendFailed, "object store: %s", action)
}
