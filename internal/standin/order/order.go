// Package order implements a test double of a plain service with a booking call, which must not be retried, and an availability
// call.
package order

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"path"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

const (
	// bookingName is the last element of the paths of booking calls, below any prefix.
	bookingName = "book"
	// availabilityName is the last element of the paths of availability calls.
	availabilityName = "availability"
)

// Booking is the response to a booking call.
type Booking struct {
	// Number counts the bookings of this server.
	Number int64 `json:"number"`
	// Order is the body of the call.
	Order string `json:"order"`
}

// Availability is the response to an availability call.
type Availability struct {
	// Query is the query string of the call.
	Query     string `json:"query"`
	Available bool   `json:"available"`
}

// Record holds the calls and headers that a server received.
type Record struct {
	// Bookings counts the booking calls by body.
	Bookings map[string]int64 `json:"bookings"`
	// AvailabilityCalls is the number of availability calls.
	AvailabilityCalls int64 `json:"availability"`
	// Headers maps header names to the values received.
	Headers map[string][]string `json:"headers"`
}

// Server makes a new booking for each booking call, even for a repeated one, so that tests can detect repeated calls. The zero value has
// no bookings.
type Server struct {
	// Switches are the fault switches.
	Switches switches.Switches

	mu                sync.Mutex
	bookings          map[string]int64
	lastNumber        int64
	availabilityCalls int64
	headers           switches.Headers
}

// Call implements service.Caller without a network.
func (s *Server) Call(ctx context.Context, request service.Request) (service.Response, error) {
	response, err := s.call(ctx, request)
	if err != nil {
		return service.Response{}, fault.Wrap(err, fault.OutcomeUnknown, "no answer to the call")
	}

	return response, nil
}

// Record returns the calls and headers received so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()

	return Record{Bookings: maps.Clone(s.bookings), AvailabilityCalls: s.availabilityCalls, Headers: s.headers.Values()}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	server := echo.New()
	server.GET("/record", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Record()) })
	s.Switches.Register(server)
	server.Any("/*", s.serve)

	return server
}

func (s *Server) serve(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return errors.Wrap(err, "read request body")
	}

	incoming := c.Request()
	request := service.Request{Method: incoming.Method, Path: incoming.URL.Path, Query: incoming.URL.RawQuery, Body: body}

	for name, values := range incoming.Header {
		for _, value := range values {
			request.Headers = append(request.Headers, service.Header{Name: name, Value: value})
		}
	}

	response, err := s.call(incoming.Context(), request)
	if err != nil {
		switches.DropConnection()
	}

	return c.JSONBlob(response.Status, response.Body)
}

func (s *Server) call(ctx context.Context, request service.Request) (service.Response, error) {
	var response service.Response

	err := s.Switches.Do(ctx, request.Method != http.MethodGet, func() error {
		var err error

		response, err = s.handle(request)

		return err
	})

	return response, err
}

func (s *Server) handle(request service.Request) (service.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, header := range request.Headers {
		s.headers.Add(header.Name, header.Value)
	}

	switch {
	case request.Method == http.MethodPost && path.Base(request.Path) == bookingName:
		return jsonResponse(http.StatusOK, s.book(string(request.Body)))
	case request.Method == http.MethodGet && path.Base(request.Path) == availabilityName:
		s.availabilityCalls++

		return jsonResponse(http.StatusOK, Availability{Query: request.Query, Available: true})
	default:
		return jsonResponse(http.StatusNotFound, map[string]string{"error": "no route " + request.Method + " " + request.Path})
	}
}

func (s *Server) book(body string) Booking {
	if s.bookings == nil {
		s.bookings = map[string]int64{}
	}

	s.lastNumber++
	s.bookings[body]++

	return Booking{Number: s.lastNumber, Order: body}
}

// jsonResponse returns a response with a JSON body.
func jsonResponse(status int, value any) (service.Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return service.Response{}, errors.Wrap(err, "encode response")
	}

	headers := []service.Header{{Name: "Content-Type", Value: "application/json"}}

	return service.Response{Status: status, Headers: headers, Body: body}, nil
}
