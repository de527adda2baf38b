package rest

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Resource is a cached response body with its entity tag, which the server uses to detect a change.
type Resource struct {
	// ETag is the entity tag of the response; empty if the server sends none.
	ETag string
	Body []byte
}

// Refresh fetches a resource with a conditional request and reports whether it has changed; if not, it returns cached. The
// request accepts gzip. A server that supports neither entity tags nor gzip sends the full body each time.
func Refresh(ctx context.Context, call Call, cached Resource) (Resource, bool, error) {
	call.Header = http.Header{"Accept-Encoding": {"gzip"}}
	if cached.ETag != "" {
		call.Header["If-None-Match"] = []string{cached.ETag}
	}

	response, err := send(ctx, call)
	if err != nil {
		return Resource{}, false, err
	}

	defer func() { _ = response.Body.Close() }()

	if response.StatusCode == http.StatusNotModified && cached.ETag != "" {
		return cached, false, nil
	}

	if response.StatusCode != http.StatusOK {
		return Resource{}, false, newStatusError(response)
	}

	body, err := readBody(response)

	return Resource{ETag: response.Header.Get("ETag"), Body: body}, true, err
}

// readBody reads and decompresses a response body; BodyLimit applies to both the compressed and the decompressed size.
func readBody(response *http.Response) ([]byte, error) {
	if response.Header.Get("Content-Encoding") != "gzip" {
		return ReadAll(response.Body, BodyLimit)
	}

	reader, err := gzip.NewReader(io.LimitReader(response.Body, BodyLimit))
	if err != nil {
		return nil, errors.Wrap(err, "decompress response")
	}

	return ReadAll(reader, BodyLimit)
}
