// Package switches implements the fault switches, which inject faults into the test doubles.
package switches

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// ErrDropped is returned if the connection must be closed without a response.
var ErrDropped = errors.New("connection dropped by a fault switch")

// State holds the settings of the fault switches.
type State struct {
	// Outage drops every call; none takes effect.
	Outage bool `json:"outage"`
	// RequestDelayMS delays every call before it takes effect, in milliseconds.
	RequestDelayMS int64 `json:"slow"`
	// LostResponses is the number of write calls that are still to take effect without a response.
	LostResponses int64 `json:"lost"`
	// ResponseDelayMS delays every response after the call took effect, in milliseconds.
	ResponseDelayMS int64 `json:"late"`
}

// Switches holds the fault switches of one test double. The zero value injects no faults.
type Switches struct {
	mu    sync.Mutex
	state State
}

// State returns the settings of the switches.
func (s *Switches) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.state
}

// Set replaces the settings of all switches.
func (s *Switches) Set(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.state = state
}

// Do runs the effect of a call subject to the switches. Only write calls can lose their response.
func (s *Switches) Do(ctx context.Context, write bool, effect func() error) error {
	state := s.stateForCall(write)

	if state.Outage {
		return ErrDropped
	}

	if err := Sleep(ctx, milliseconds(state.RequestDelayMS)); err != nil {
		return err
	}

	err := effect()

	if delayErr := Sleep(ctx, milliseconds(state.ResponseDelayMS)); delayErr != nil {
		return delayErr
	}

	if state.LostResponses > 0 && write {
		return ErrDropped
	}

	return err
}

// stateForCall returns the settings that apply to one call and counts down LostResponses if the call will lose its response.
func (s *Switches) stateForCall(write bool) State {
	s.mu.Lock()
	defer s.mu.Unlock()

	state := s.state

	if write && !state.Outage && state.LostResponses > 0 {
		s.state.LostResponses--
	}

	return state
}

// Register adds the switch routes to a server. A POST leaves the fields that it does not name unchanged.
func (s *Switches) Register(server *echo.Echo) {
	server.GET("/switch", func(c echo.Context) error { return c.JSON(http.StatusOK, s.State()) })
	server.POST("/switch", func(c echo.Context) error {
		state := s.State()
		if err := c.Bind(&state); err != nil {
			return err
		}

		s.Set(state)

		return c.JSON(http.StatusOK, state)
	})
}

// Wrap returns a handler that runs the given one subject to the switches.
func (s *Switches) Wrap(handler echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := readBody(c.Request()); err != nil {
			return err
		}

		writer := c.Response().Writer
		buffered := &responseBuffer{header: writer.Header(), status: http.StatusOK}
		c.Response().Writer = buffered

		write := c.Request().Method != http.MethodGet
		err := s.Do(c.Request().Context(), write, func() error { return handler(c) })
		c.Response().Writer = writer

		if errors.Is(err, ErrDropped) {
			DropConnection()
		}

		if err != nil {
			return err
		}

		writer.WriteHeader(buffered.status)
		_, err = writer.Write(buffered.body.Bytes())

		return errors.Wrap(err, "write response")
	}
}

// readBody reads the body before the handler runs: net/http detects that a client has disconnected only after the body was read.
func readBody(request *http.Request) error {
	body, err := io.ReadAll(request.Body)
	request.Body = io.NopCloser(bytes.NewReader(body))

	return errors.Wrap(err, "read request body")
}

// DropConnection closes the connection of the current call without a response. It panics with http.ErrAbortHandler.
func DropConnection() {
	panic(http.ErrAbortHandler)
}

// WriteError writes an error response.
func WriteError(c echo.Context, status int, kind fault.Kind, message string) error {
	return c.JSON(status, rest.ErrorResponse{Error: rest.ErrorDetail{Kind: kind, Message: message}})
}

// Sleep waits for the duration or until the context ends.
func Sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}

	timer := time.NewTimer(duration)
	defer timer.Stop()

	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

// responseBuffer buffers a response until it is known whether it will be sent.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *responseBuffer) Header() http.Header { return r.header }

// Write implements http.ResponseWriter.
func (r *responseBuffer) Write(p []byte) (int, error) { return r.body.Write(p) }

// WriteHeader implements http.ResponseWriter.
func (r *responseBuffer) WriteHeader(status int) { r.status = status }
