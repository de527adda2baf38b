// Package switches holds the fault switches that all stand-ins share.
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

// ErrDropped says that the connection is to be closed without an answer.
var ErrDropped = errors.New("connection dropped by a fault switch")

// State is the position of the switches.
type State struct {
	// Outage drops every call before it takes effect.
	Outage bool `json:"outage"`
	// RequestDelayMS delays every call before it takes effect, in milliseconds.
	RequestDelayMS int64 `json:"slow"`
	// LostResponses is the number of writing calls still to take effect without an answer.
	LostResponses int64 `json:"lost"`
	// ResponseDelayMS delays every answer after the call took effect, in milliseconds.
	ResponseDelayMS int64 `json:"late"`
}

// Switches is the state of one stand-in. The zero value has no faults.
type Switches struct {
	mu    sync.Mutex
	state State
}

// State returns the position of the switches.
func (s *Switches) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.state
}

// Set changes the position of the switches.
func (s *Switches) Set(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.state = state
}

// Do runs the effect of a call under the switches. Only calls that write can lose their answer.
func (s *Switches) Do(ctx context.Context, write bool, effect func() error) error {
	state := s.take(write)

	if state.Outage {
		return ErrDropped
	}

	if err := Sleep(ctx, milliseconds(state.RequestDelayMS)); err != nil {
		return err
	}

	err := effect()

	if late := Sleep(ctx, milliseconds(state.ResponseDelayMS)); late != nil {
		return late
	}

	if state.LostResponses > 0 && write {
		return ErrDropped
	}

	return err
}

func (s *Switches) take(write bool) State {
	s.mu.Lock()
	defer s.mu.Unlock()

	state := s.state

	if write && !state.Outage && state.LostResponses > 0 {
		s.state.LostResponses--
	}

	return state
}

// Register adds the switch routes to a server. The fields that a call does not name keep their position.
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

// Wrap runs a handler under the switches.
func (s *Switches) Wrap(handler echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := readBody(c.Request()); err != nil {
			return err
		}

		writer := c.Response().Writer
		held := &recorder{header: writer.Header(), status: http.StatusOK}
		c.Response().Writer = held

		write := c.Request().Method != http.MethodGet
		err := s.Do(c.Request().Context(), write, func() error { return handler(c) })
		c.Response().Writer = writer

		if errors.Is(err, ErrDropped) {
			DropConnection()
		}

		if err != nil {
			return err
		}

		writer.WriteHeader(held.status)
		_, err = writer.Write(held.body.Bytes())

		return errors.Wrap(err, "write answer")
	}
}

// readBody reads the body ahead of the handler; net/http notices that a client has gone only once the body was read.
func readBody(request *http.Request) error {
	body, err := io.ReadAll(request.Body)
	request.Body = io.NopCloser(bytes.NewReader(body))

	return errors.Wrap(err, "read call")
}

// DropConnection closes the connection of the call without an answer.
func DropConnection() {
	panic(http.ErrAbortHandler)
}

// WriteError writes an error answer.
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

// recorder holds an answer back until it is known whether it is sent.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }
