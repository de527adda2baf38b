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

const (
	// readTime bounds the reading of a request body, so that a slow caller does not hold memory for long.
	readTime = 10 * time.Second
	// headerTimeout carries the time that the caller is willing to wait, such as "1.5s".
	headerTimeout = "X-Timeout"
)

// body reads the request body up to the limit in bytes.
func (s *call) body(limit int64) ([]byte, error) {
	request := s.echo.Request()
	if request.ContentLength > limit {
		return nil, tooLarge(limit)
	}

	control := http.NewResponseController(s.echo.Response())
	_ = control.SetReadDeadline(time.Now().Add(readTime))

	defer func() { _ = control.SetReadDeadline(time.Time{}) }()

	data, err := io.ReadAll(http.MaxBytesReader(s.echo.Response(), request.Body, limit))

	var over *http.MaxBytesError

	switch {
	case errors.As(err, &over):
		return nil, tooLarge(limit)
	case err != nil:
		return nil, fault.Wrap(err, fault.InvalidRequest, "the request body could not be read")
	default:
		return data, nil
	}
}

func tooLarge(limit int64) error {
	return fault.New(fault.TooLarge, "the request body exceeds %d bytes", limit)
}

// deadline returns the shorter of the caller's and the configured time.
func (s *call) deadline(defaults document.Default) (time.Time, error) {
	timeout := time.Duration(defaults.Timeout)

	text := s.echo.Request().Header.Get(headerTimeout)
	if text == "" {
		return s.begin.Add(timeout), nil
	}

	wanted, err := time.ParseDuration(text)
	if err != nil || wanted <= 0 {
		return time.Time{}, fault.New(fault.InvalidRequest, "%s %q: want a time with a unit, such as 1.5s", headerTimeout, text).WithParam(headerTimeout)
	}

	return s.begin.Add(min(timeout, wanted)), nil
}

// leaks reports whether a text holds the caller's key, which no backend server may see.
func (s *call) leaks(texts ...string) bool {
	if s.secret == "" {
		return false
	}

	for _, text := range texts {
		if strings.Contains(text, s.secret) {
			return true
		}
	}

	return false
}

func leaked(param string) error {
	return fault.New(fault.InvalidRequest, "the request holds the caller's key outside of the Authorization header").WithParam(param)
}
