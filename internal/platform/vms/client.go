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

// Client is a Lister over HTTP. It reads the list only when it has changed: with 1,250 VMs the list has 176 KB, and entries
// poll it each second.
type Client struct {
	// URL is the base URL of the VM list.
	URL string
	// HTTP is the client to use; nil uses rest.Default.
	HTTP *http.Client

	mu sync.Mutex
	// tag is the entity tag of list; empty before the first read.
	tag  string
	list List
}

// List implements Lister. The VMs of the list must not be changed.
func (c *Client) List(ctx context.Context) (List, error) {
	list, tag := c.known()
	call := rest.Call{HTTP: c.HTTP, Method: http.MethodGet, URL: c.URL + "/vms"}

	read, changed, err := rest.Refresh(ctx, call, rest.Resource{ETag: tag})
	if err != nil {
		return List{}, fault.Wrap(err, fault.BackendFailed, "VM list")
	}

	if !changed {
		return list, nil
	}

	var next List

	if err := json.Unmarshal(read.Body, &next); err != nil {
		return List{}, fault.Wrap(errors.Wrap(err, "decode response"), fault.BackendFailed, "VM list")
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.list, c.tag = next, read.ETag

	return next, nil
}

func (c *Client) known() (List, string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.list, c.tag
}
