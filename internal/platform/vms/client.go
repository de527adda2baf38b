package vms

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// Client implements Lister over HTTP. It uses conditional requests, because entries poll the list each second and a list of
// 1,250 VMs has 176 KB. It is safe for concurrent use.
type Client struct {
	// URL is the base URL of the VM list.
	URL string
	// HTTP is the HTTP client; nil selects rest.Default.
	HTTP *http.Client

	mu sync.Mutex
	// etag is the entity tag of list; empty before the first read.
	etag string
	list List
}

// List implements Lister. The caller must not modify the returned list.
func (c *Client) List(ctx context.Context) (List, error) {
	list, etag := c.cached()
	call := rest.Call{HTTP: c.HTTP, Method: http.MethodGet, URL: c.URL + "/vms"}

	read, changed, err := rest.Refresh(ctx, call, rest.Resource{ETag: etag})
	if err != nil {
		return List{}, fault.Wrap(err, fault.BackendFailed, "read VM list")
	}

	if !changed {
		return list, nil
	}

	var next List

	if err := json.Unmarshal(read.Body, &next); err != nil {
		return List{}, fault.Wrap(errors.Wrap(err, "decode response"), fault.BackendFailed, "read VM list")
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.list, c.etag = next, read.ETag

	return next, nil
}

func (c *Client) cached() (List, string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.list, c.etag
}
