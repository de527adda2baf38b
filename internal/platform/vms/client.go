package vms

import (
	"context"
	"net/http"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// Client is a Lister over HTTP.
type Client struct {
	// URL is the base URL of the VM list.
	URL string
	// HTTP is the client to use; nil uses rest.Default.
	HTTP *http.Client
}

// List implements Lister.
func (c *Client) List(ctx context.Context) (List, error) {
	var list List

	err := rest.JSON(ctx, rest.Call{HTTP: c.HTTP, Method: http.MethodGet, URL: c.URL + "/vms"}, nil, &list)
	if err != nil {
		return List{}, fault.Wrap(err, fault.BackendFailed, "VM list")
	}

	return list, nil
}
