// Package order stands in for a plain service with a booking call, which must not be repeated, and an availability call.
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

// Booking is the answer to a booking call.
type Booking struct {
	// Number counts the bookings of this server.
	Number int64 `json:"number"`
	// Order is the body of the call.
	Order string `json:"order"`
}

// Availability is the answer to an availability call.
type Availability struct {
	// Query is the query string of the call.
	Query     string `json:"query"`
	Available bool   `json:"available"`
}

// Record is what the server has seen.
type Record struct {
	// Bookings counts the booking calls by body.
	Bookings map[string]int64 `json:"bookings"`
	// Availability is the number of availability calls.
	Availability int64 `json:"availability"`
	// Headers maps header names to the values received.
	Headers map[string][]string `json:"headers"`
}

// Server books each call again, also when it is the same. The zero value has no bookings.
type Server struct {
	// Switches are the fault switches.
	Switches switches.Switches

	mu           sync.Mutex
	bookings     map[string]int64
	number       int64
	availability int64
	headers      switches.Headers
}

// Call implements service.Caller without a network.
func (s *Server) Call(ctx context.Context, request service.Request) (service.Response, error) {
	response, err := s.call(ctx, request)
	if err != nil {
		return service.Response{}, fault.Wrap(err, fault.OutcomeUnknown, "no answer to the call")
	}

	return response, nil
}

// Record returns what the server has seen.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()

	return Record{Bookings: maps.Clone(s.bookings), Availability: s.availability, Headers: s.headers.Values()}
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
		return errors.Wrap(err, "read call")
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

		response, err = s.run(request)

		return err
	})

	return response, err
}

func (s *Server) run(request service.Request) (service.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, header := range request.Headers {
		s.headers.Add(header.Name, header.Value)
	}

	switch {
	case request.Method == http.MethodPost && path.Base(request.Path) == bookingName:
		return answer(http.StatusOK, s.book(string(request.Body)))
	case request.Method == http.MethodGet && path.Base(request.Path) == availabilityName:
		s.availability++

		return answer(http.StatusOK, Availability{Query: request.Query, Available: true})
	default:
		return answer(http.StatusNotFound, map[string]string{"error": "no route " + request.Method + " " + request.Path})
	}
}

func (s *Server) book(body string) Booking {
	if s.bookings == nil {
		s.bookings = map[string]int64{}
	}

	s.number++
	s.bookings[body]++

	return Booking{Number: s.number, Order: body}
}

func answer(status int, value any) (service.Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return service.Response{}, errors.Wrap(err, "encode answer")
	}

	headers := []service.Header{{Name: "Content-Type", Value: "application/json"}}

	return service.Response{Status: status, Headers: headers, Body: body}, nil
}
