package weight

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// Client loads weights over HTTP.
type Client struct {
	// URL is the base URL of the weight store.
	URL string
	// HTTP is the client to use; nil uses rest.Default.
	HTTP *http.Client
}

// Load returns when the weights have arrived.
func (c *Client) Load(ctx context.Context, adapter engine.Adapter) error {
	query := url.Values{"adapter": {adapter.Name}, "version": {adapter.Version}}
	call := rest.Call{HTTP: c.HTTP, Method: http.MethodGet, URL: c.URL + "/weight?" + query.Encode()}

	return errors.Wrap(rest.JSON(ctx, call, nil, nil), "load weights")
}
