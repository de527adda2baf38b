package api

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// headerTimeout carries the maximum time that the caller wants to wait, such as "1.5s".
const headerTimeout = "X-Timeout"

// readBody reads the request body up to the limit in bytes.
func (s *requestState) readBody(limit int64) ([]byte, error) {
	request := s.echo.Request()
	if request.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}

	data, err := io.ReadAll(http.MaxBytesReader(s.echo.Response(), request.Body, limit))

	var maxBytesErr *http.MaxBytesError

	switch {
	case errors.As(err, &maxBytesErr):
		return nil, bodyTooLarge(limit)
	case err != nil:
		return nil, fault.Wrap(err, fault.InvalidRequest, "the request body could not be read")
	default:
		return data, nil
	}
}

func bodyTooLarge(limit int64) error {
	return fault.New(fault.TooLarge, "the request body exceeds %d bytes", limit)
}

// deadline returns the start time plus the shorter of the caller's and the configured timeout.
func (s *requestState) deadline(defaults document.Default) (time.Time, error) {
	timeout := time.Duration(defaults.Timeout)

	text := s.echo.Request().Header.Get(headerTimeout)
	if text == "" {
		return s.start.Add(timeout), nil
	}

	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 {
		return time.Time{}, fault.New(fault.InvalidRequest, "%s must be a duration with a unit, such as 1.5s", headerTimeout).WithParam(headerTimeout)
	}

	return s.start.Add(min(timeout, requested)), nil
}

// containsKey reports whether one of the texts contains the caller's key, which must not be sent to backend servers.
func (s *requestState) containsKey(texts ...string) bool {
	if s.apiKey == "" {
		return false
	}

	for _, text := range texts {
		if strings.Contains(text, s.apiKey) {
			return true
		}
	}

	return false
}

func keyLeakError(param string) error {
	return fault.New(fault.InvalidRequest, "the request contains the caller's key outside of the Authorization header").WithParam(param)
}
