package table

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// Client implements Table over HTTP: it is a client of the platform's table service, which has a single table. It never
// retries a commit.
type Client struct {
	// URL is the base URL of the table service.
	URL string
	// HTTP is the HTTP client; nil selects rest.Default.
	HTTP *http.Client
}

// CommitResponse is the response to a committed transaction.
type CommitResponse struct {
	Revision int64 `json:"revision"`
}

// ListResponse is the response to a list call.
type ListResponse struct {
	Rows []Row `json:"rows"`
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row

	err := c.call(ctx, http.MethodGet, "/row?"+url.Values{"key": {key}}.Encode(), nil, &row)

	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}

	var response ListResponse

	err := c.call(ctx, http.MethodGet, "/rows?"+query.Encode(), nil, &response)

	return response.Rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (int64, error) {
	var response CommitResponse

	err := c.call(ctx, http.MethodPost, "/commit", txn, &response)

	return response.Revision, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	err := rest.JSON(ctx, rest.Call{HTTP: c.HTTP, Method: method, URL: c.URL + path}, in, out)
	if err == nil {
		return nil
	}

	var statusErr *rest.StatusError

	if errors.As(err, &statusErr) && statusErr.Code == http.StatusConflict {
		return fault.New(fault.Conflict, "%s", statusErr.Message)
	}

	return fault.Wrap(err, fault.TableUnavailable, "table service: %s %s", method, path)
}
