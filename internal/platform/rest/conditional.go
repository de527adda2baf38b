package rest

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Resource is a body that was read before, with the entity tag by which the server tells whether it has changed.
type Resource struct {
	// ETag is the entity tag of the response; empty if the server sends none.
	ETag string
	Body []byte
}

// Refresh reads a resource again and reports whether the server sent it anew. The call carries the entity tag of the known
// one, and allows gzip. A server that knows neither sends the whole body each time.
func Refresh(ctx context.Context, call Call, known Resource) (Resource, bool, error) {
	call.Header = http.Header{"Accept-Encoding": {"gzip"}}
	if known.ETag != "" {
		call.Header["If-None-Match"] = []string{known.ETag}
	}

	response, err := send(ctx, call)
	if err != nil {
		return Resource{}, false, err
	}

	defer func() { _ = response.Body.Close() }()

	if response.StatusCode == http.StatusNotModified && known.ETag != "" {
		return known, false, nil
	}

	if response.StatusCode != http.StatusOK {
		return Resource{}, false, statusOf(response)
	}

	body, err := plainBody(response)

	return Resource{ETag: response.Header.Get("ETag"), Body: body}, true, err
}

// plainBody reads a body that may be compressed; BodyLimit bounds it before and after.
func plainBody(response *http.Response) ([]byte, error) {
	if response.Header.Get("Content-Encoding") != "gzip" {
		return ReadAll(response.Body, BodyLimit)
	}

	reader, err := gzip.NewReader(io.LimitReader(response.Body, BodyLimit))
	if err != nil {
		return nil, errors.Wrap(err, "decompress response")
	}

	return ReadAll(reader, BodyLimit)
}
